// The HTTP server of the platform stand-in.
#include <charconv>
#include <chrono>
#include <fstream>
#include <json/json.h>
#include <sstream>
#include <standins/http/connection_threads.hpp>
#include <standins/platform/platform_server.hpp>
#include <thread>

namespace kumquatramp::standins
{

namespace
{

constexpr std::uint64_t max_wait_ms = 60'000;

std::optional<std::uint64_t> to_number(std::string const& text)
{
    std::uint64_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return number;
}

std::uint64_t number_param(httplib::Request const& request, char const* name)
{
    return to_number(request.get_param_value(name)).value_or(0);
}

std::int64_t current_second()
{
    auto const now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

std::string to_text(Json::Value const& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

} // namespace

platform_server::platform_server()
{
    configure(http_);
    http_.Get(R"(/v1/values/([a-z]+))",
              [this](auto const& request, auto& response)
              { read(request, response); });
    http_.Put(R"(/control/values/([a-z]+))",
              [this](auto const& request, auto& response)
              { put(request, response); });
    http_.Post("/control/mode", [this](auto const& request, auto& response)
               { set_mode(request, response); });
    http_.Get("/control/counts",
              [this](auto const&, auto& response) { counts(response); });
}

bool platform_server::load(std::string const& directory)
{
    bool found = false;
    for (auto const* key : {"rules", "catalogue", "members"})
    {
        std::ifstream file(directory + "/" + key);
        if (!file)
        {
            continue;
        }
        std::stringstream text;
        text << file.rdbuf();
        values_.put(key, text.str(), std::nullopt);
        found = true;
    }
    return found;
}

void platform_server::read(httplib::Request const& request,
                           httplib::Response& response)
{
    counter_.begin(current_second());
    std::this_thread::sleep_for(std::chrono::milliseconds(slow_ms_.load()));
    auto const key = request.matches[1].str();
    auto const after = number_param(request, "after");
    auto const wait_ms =
        std::min(number_param(request, "wait_ms"), max_wait_ms);
    versioned_value value;
    if (!absent_)
    {
        value =
            values_.wait_newer(key, after, std::chrono::milliseconds(wait_ms));
    }
    counter_.end();
    if (absent_)
    {
        response.status = 503;
        return;
    }
    response.set_header("Version", std::to_string(value.version));
    if (value.version == 0)
    {
        response.status = 404;
        return;
    }
    if (value.version <= after)
    {
        response.status = 204;
        return;
    }
    Json::Value json;
    json["key"] = key;
    json["version"] = Json::UInt64{value.version};
    json["value"] = value.text;
    response.set_content(to_text(json), "application/json");
}

void platform_server::put(httplib::Request const& request,
                          httplib::Response& response)
{
    std::optional<std::uint64_t> expected;
    if (request.has_header("If-Version"))
    {
        expected = to_number(request.get_header_value("If-Version"));
        if (!expected)
        {
            response.status = 400;
            return;
        }
    }
    auto const version =
        values_.put(request.matches[1].str(), request.body, expected);
    if (!version)
    {
        response.status = 409;
        return;
    }
    response.set_header("Version", std::to_string(*version));
    response.status = 204;
}

void platform_server::set_mode(httplib::Request const& request,
                               httplib::Response& response)
{
    response.status = 204;
    if (request.has_param("normal"))
    {
        values_.set_stale(0);
        absent_ = false;
        slow_ms_ = 0;
    }
    if (request.has_param("stale"))
    {
        values_.set_stale(number_param(request, "stale"));
    }
    if (request.has_param("absent"))
    {
        absent_ = number_param(request, "absent") != 0;
    }
    if (request.has_param("slow_ms"))
    {
        slow_ms_ = static_cast<int>(
            std::min(number_param(request, "slow_ms"), max_wait_ms));
    }
}

void platform_server::counts(httplib::Response& response) const
{
    auto const current = counter_.counts();
    Json::Value json;
    json["calls"] = Json::UInt64{current.calls};
    json["waiting"] = Json::UInt64{current.waiting};
    json["peak_per_second"] = Json::UInt64{current.peak_per_second};
    response.set_content(to_text(json), "application/json");
}

} // namespace kumquatramp::standins
