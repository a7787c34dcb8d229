// Sends GET /v1/values/{key} requests, one at a time.
#include <charconv>
#include <details/platform_read_thread.hpp>
#include <transport/json_text.hpp>
#include <transport/platform_events.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

constexpr duration connect_timeout = 500ms;
constexpr duration answer_margin = 500ms;
constexpr int http_ok = 200;
constexpr int http_no_content = 204;
constexpr int http_not_found = 404;

std::optional<std::uint64_t> read_version(std::string const& text)
{
    std::uint64_t version = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, version);
    bool const valid = parsed.ec == std::errc{} && parsed.ptr == end;
    return valid ? std::optional(version) : std::nullopt;
}

} // namespace

platform_read_thread::platform_read_thread(socket_address const& platform,
                                           platform_events& events,
                                           clock const& time)
    : events_(events)
    , time_(time)
    , client_(platform.ip, platform.port)
    , thread_([this] { run(); })
{
    client_.set_keep_alive(true);
    client_.set_tcp_nodelay(true);
    client_.set_connection_timeout(connect_timeout);
}

platform_read_thread::~platform_read_thread()
{
    stop();
}

void platform_read_thread::read(read_platform const& request)
{
    std::lock_guard const guard(mutex_);
    pending_read_ = request;
    changed_.notify_one();
}

void platform_read_thread::stop()
{
    {
        std::lock_guard const guard(mutex_);
        stopping_ = true;
        changed_.notify_one();
    }
    client_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void platform_read_thread::run()
{
    std::unique_lock lock(mutex_);
    for (;;)
    {
        changed_.wait(lock, [this] { return pending_read_ || stopping_; });
        if (stopping_)
        {
            return;
        }
        auto const request = *std::exchange(pending_read_, std::nullopt);
        lock.unlock();
        perform_read(request);
        lock.lock();
    }
}

void platform_read_thread::perform_read(read_platform const& request)
{
    auto const wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.wait);
    auto const path = "/v1/values/" + std::string(to_string(request.key)) +
                      "?after=" + std::to_string(request.held.value()) +
                      "&wait_ms=" + std::to_string(wait.count());
    client_.set_read_timeout(request.wait + answer_margin);
    auto const asked = time_.now();
    auto const answer = client_.Get(path);
    if (answer)
    {
        report(request, *answer, asked);
    }
    else
    {
        events_.on_platform_failed(request.key);
    }
}

void platform_read_thread::report(read_platform const& request,
                                  httplib::Response const& response,
                                  time_point asked)
{
    auto const known = read_version(response.get_header_value("Version"));
    if (response.status == http_no_content && known)
    {
        events_.on_platform_value(request.key, config_version{*known},
                                  std::nullopt, asked);
        return;
    }
    if (response.status == http_not_found)
    {
        events_.on_platform_value(request.key,
                                  config_version{known.value_or(0)},
                                  std::nullopt, asked);
        return;
    }
    auto const body =
        response.status == http_ok ? parse_json(response.body) : std::nullopt;
    bool const valid = body && body->isObject() &&
                       (*body)["version"].isUInt64() &&
                       (*body)["value"].isString() &&
                       (*body)["key"] == std::string(to_string(request.key));
    if (!valid)
    {
        events_.on_platform_failed(request.key);
        return;
    }
    auto const text = (*body)["value"].asString();
    events_.on_platform_value(request.key,
                              config_version{(*body)["version"].asUInt64()},
                              text, asked);
}

} // namespace kumquatramp
