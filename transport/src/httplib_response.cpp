// Fills in cpp-httplib responses of the operators' port.
#include <base/error_answer.hpp>
#include <details/httplib_response.hpp>
#include <transport/error_body.hpp>

namespace kumquatramp
{

namespace
{

constexpr char const* json_type = "application/json";
constexpr int http_ok = 200;

} // namespace

void write_error(httplib::Response& response, error const& fault)
{
    auto const& row = answer_of(fault.kind);
    response.status = row.http_status;
    if (row.retry_after)
    {
        response.set_header("Retry-After",
                            std::to_string(refused_retry_after / 1s));
    }
    response.set_content(error_body("", fault), json_type);
}

void write_json(httplib::Response& response, std::string const& body)
{
    response.status = http_ok;
    response.set_content(body, json_type);
}

} // namespace kumquatramp
