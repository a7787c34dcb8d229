// Health, status, metrics, burn and rules check endpoints.
#include <base/error_answer.hpp>
#include <burn/burn_rate_tracker.hpp>
#include <burn/render_burn.hpp>
#include <details/httplib_response.hpp>
#include <details/status_body.hpp>
#include <httplib.h>
#include <rules/parse_rules.hpp>
#include <rules/ruleset.hpp>
#include <transport/admin_routes.hpp>
#include <transport/json_text.hpp>
#include <transport/node_driver.hpp>

namespace kumquatramp
{

namespace
{

using httplib::Request;
using httplib::Response;

void answer_status(Response& response, node_driver& driver)
{
    auto const status = driver.hosted_node().status(driver.now());
    write_json(response, to_json_text(status_json(status, driver.ready())));
}

void answer_metrics(Response& response, node_driver& driver)
{
    auto const status = driver.hosted_node().status(driver.now());
    auto const text = driver.metrics().text(driver.now()) +
                      status_metrics(status, driver.ready());
    response.set_content(text, "text/plain; version=0.0.4");
}

void answer_burn(Response& response, node_driver& driver)
{
    auto const rows = driver.hosted_node().burn().report(driver.now());
    write_json(response, render_burn_json(rows));
}

void answer_burn_page(Response& response, node_driver& driver)
{
    auto const rows = driver.hosted_node().burn().report(driver.now());
    auto const host =
        driver.hosted_node().status(driver.now()).self.name.value();
    response.set_content(render_burn_html(rows, host), "text/html");
}

void answer_check(Request const& request, Response& response)
{
    auto const parsed = parse_rules(request.body);
    Json::Value body;
    body["faults"] = Json::Value(Json::arrayValue);
    if (!parsed)
    {
        for (auto const& fault : parsed.error())
        {
            Json::Value line;
            line["line"] = fault.line;
            line["reason"] = fault.reason;
            body["faults"].append(line);
        }
    }
    write_json(response, to_json_text(body));
    if (!parsed)
    {
        response.status =
            answer_of(error_kind::invalid_configuration).http_status;
    }
}

void add_health_routes(httplib::Server& server, node_driver& driver)
{
    server.Get("/healthz", [](Request const&, Response& response)
               { write_json(response, R"({"status":"ok"})"); });
    server.Get("/readyz",
               [&driver](Request const&, Response& response)
               {
                   bool const ready = driver.ready();
                   write_json(response, ready ? R"({"status":"ok"})"
                                              : R"({"status":"not ready"})");
                   response.status =
                       ready ? response.status
                             : answer_of(error_kind::not_ready).http_status;
               });
}

} // namespace

void add_admin_routes(httplib::Server& server, node_driver& driver)
{
    add_health_routes(server, driver);
    server.Get("/v1/status", [&driver](Request const&, Response& response)
               { answer_status(response, driver); });
    server.Get("/metrics", [&driver](Request const&, Response& response)
               { answer_metrics(response, driver); });
    server.Get("/v1/burn", [&driver](Request const&, Response& response)
               { answer_burn(response, driver); });
    server.Get("/v1/burn.html", [&driver](Request const&, Response& response)
               { answer_burn_page(response, driver); });
    server.Post("/v1/rules/check",
                [](Request const& request, Response& response)
                { answer_check(request, response); });
}

} // namespace kumquatramp
