// The HTTP server of one stand-in target.
#include <algorithm>
#include <charconv>
#include <standins/http/connection_threads.hpp>
#include <standins/target/query_filter.hpp>
#include <standins/target/target_server.hpp>
#include <thread>

namespace kumquatramp::standins
{

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds default_deadline{10'000};
constexpr std::chrono::milliseconds load_report_lag{1'000};
constexpr std::chrono::milliseconds late_answer_delay{200};

/// Counts one connection against a target's connection limit; released when
/// the connection's thread ends.
class connection_permit
{
public:
    connection_permit() = default;
    connection_permit(connection_permit const&) = delete;
    connection_permit& operator=(connection_permit const&) = delete;
    ~connection_permit()
    {
        if (record_ != nullptr)
        {
            record_->connection_closed();
        }
    }

    bool acquired() const noexcept { return record_ != nullptr; }

    void acquire(target_record& record)
    {
        record.connection_opened();
        record_ = &record;
    }

private:
    target_record* record_ = nullptr;
};

// connection_threads runs each connection on its own thread, so a thread-local
// object has the lifetime of the connection.
thread_local connection_permit this_connection;

steady::time_point deadline_of(httplib::Request const& request)
{
    auto const text = request.get_header_value("Deadline-Ms");
    int left_ms = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, left_ms);
    auto const left = parsed.ec == std::errc{} && !text.empty()
                          ? std::chrono::milliseconds(left_ms)
                          : default_deadline;
    return steady::now() + left;
}

std::string load_text(std::uint32_t busy, std::uint32_t queued)
{
    return "busy=" + std::to_string(busy) + " queued=" + std::to_string(queued);
}

void refuse(httplib::Response& response, int status, char const* why)
{
    response.status = status;
    response.set_header("Refused", why);
}

/// Resolves a request for the newest snapshot of a map, which has index 0: the
/// held snapshot of that map with the highest index, or `requested` if none.
snapshot_id newest_of_map(std::vector<snapshot_id> const& holds,
                          snapshot_id requested)
{
    for (auto const& held : holds)
    {
        if (held.map == requested.map && held.index > requested.index)
        {
            requested = held;
        }
    }
    return requested;
}

/// Announces a Content-Length one byte longer than the body, so that the
/// connection is closed before the response is complete.
void truncate(httplib::Response& response, std::string body)
{
    auto const promised = body.size() + 1;
    response.set_content_provider(
        promised, "application/json",
        [body = std::move(body)](std::size_t offset, std::size_t,
                                 httplib::DataSink& sink)
        {
            if (offset >= body.size())
            {
                return false;
            }
            return sink.write(body.data() + offset, body.size() - offset);
        });
}

} // namespace

/// A sub-request as parsed from its headers, with the settings at its arrival.
struct target_server::sub_request
{
    std::string attempt;
    std::string request;
    std::uint32_t shard = 0;
    snapshot_id snapshot;
    steady::time_point deadline;
    target_settings settings;
};

target_server::target_server(
    target_settings settings,
    std::shared_ptr<std::vector<stock_item> const> stock)
    : stock_(std::move(stock))
    , started_(steady::now())
    , slots_(std::move(settings))
{
    configure(http_);
    http_.Post("/v1/execute", [this](auto const& request, auto& response)
               { execute(request, response); });
    http_.Post("/v1/cancel",
               [this](auto const& request, auto& response)
               {
                   slots_.cancel(request.get_header_value("Attempt-Id"));
                   response.status = 204;
               });
    http_.Post("/control/set", [this](auto const& request, auto& response)
               { set(request, response); });
    http_.Get("/control/record",
              [this](auto const&, auto& response)
              {
                  auto const text = to_text(record_.to_json());
                  response.set_content(text, "application/json");
              });
}

bool target_server::admit_connection(httplib::Response& response)
{
    if (this_connection.acquired())
    {
        return true;
    }
    auto const settings = slots_.settings();
    if (record_.connections() >= settings.connections)
    {
        record_.connection_refused();
        response.status = 500;
        response.set_header("Connection", "close");
        return false;
    }
    this_connection.acquire(record_);
    std::this_thread::sleep_for(settings.connect_cost);
    return true;
}

void target_server::execute(httplib::Request const& request,
                            httplib::Response& response)
{
    if (!admit_connection(response))
    {
        return;
    }
    sub_request requested;
    requested.settings = slots_.settings();
    requested.deadline = deadline_of(request);
    requested.attempt = request.get_header_value("Attempt-Id");
    requested.request = request.get_header_value("Request-Id");
    auto const& holds = requested.settings.holds;
    if (!holds.empty())
    {
        requested.snapshot = holds.back();
    }
    if (auto const text = request.get_header_value("Snapshot"); !text.empty())
    {
        requested.snapshot = parse_snapshot(text).value_or(snapshot_id{});
    }
    if (requested.snapshot.index == 0)
    {
        requested.snapshot = newest_of_map(holds, requested.snapshot);
    }
    auto const shard = request.get_header_value("Shard");
    std::from_chars(shard.data(), shard.data() + shard.size(), requested.shard);
    response.set_header("Attempt-Id", requested.attempt);
    response.set_header("Shard", shard);
    response.set_header("Holds", to_text(holds));
    auto const place = requested.settings.places.find(requested.snapshot.map);
    if (std::find(holds.begin(), holds.end(), requested.snapshot) ==
            holds.end() ||
        place == requested.settings.places.end() ||
        place->second != requested.shard)
    {
        refuse(response, 409, "wrong_snapshot");
        return;
    }
    run(requested, request.body, response);
}

void target_server::run(sub_request const& requested, std::string const& body,
                        httplib::Response& response)
{
    auto const admitted = slots_.acquire_slot(requested.deadline);
    add_load(requested.settings, response);
    if (admitted.verdict == admission_verdict::draining ||
        admitted.verdict == admission_verdict::shed)
    {
        bool const draining = admitted.verdict == admission_verdict::draining;
        record_.refused(draining);
        refuse(response, 503, draining ? "draining" : "shed");
        return;
    }
    milliseconds const since_start = steady::now() - started_;
    record_.add({requested.attempt, requested.request, since_start.count(),
                 admitted.cold, admitted.in_flight, requested.settings.drain});
    if (admitted.verdict == admission_verdict::collapsed)
    {
        response.status = 500;
        return;
    }
    auto const ended = slots_.simulate_execution(
        requested.attempt, !requested.settings.once, requested.deadline);
    slots_.release_slot();
    if (ended != execution_outcome::done)
    {
        response.status = 500;
        return;
    }
    answer(requested, body, response);
}

void target_server::answer(sub_request const& requested,
                           std::string const& body, httplib::Response& response)
{
    auto const json = compute(requested, body);
    if (!json)
    {
        response.status = 400;
        return;
    }
    auto text = to_text(*json);
    response.set_header("Snapshot", to_text(std::vector{requested.snapshot}));
    auto fault = requested.settings.fault;
    if (slots_.random() >= requested.settings.fault_share)
    {
        fault = answer_fault::none;
    }
    switch (fault)
    {
    case answer_fault::none:
        break;
    case answer_fault::late:
        std::this_thread::sleep_until(requested.deadline + late_answer_delay);
        break;
    case answer_fault::truncated:
        truncate(response, std::move(text));
        return;
    case answer_fault::garbage:
        text = "\x01\xff{{{";
        break;
    case answer_fault::wrong_attempt_id:
        response.headers.erase("Attempt-Id");
        response.set_header("Attempt-Id", "1-1-0-0");
        break;
    case answer_fault::failed:
        response.status = 500;
        return;
    }
    response.set_content(text, "application/json");
}

void target_server::add_load(target_settings const& settings,
                             httplib::Response& response)
{
    auto const truth = load_text(slots_.busy(), slots_.waiting());
    switch (settings.load)
    {
    case load_report_mode::honest:
        response.set_header("Load", truth);
        return;
    case load_report_mode::idle:
        response.set_header("Load", load_text(0, 0));
        return;
    case load_report_mode::busy:
        response.set_header("Load", load_text(settings.slots, settings.queue));
        return;
    case load_report_mode::lagging:
    {
        std::lock_guard const guard(load_mutex_);
        auto const now = steady::now();
        response.set_header("Load", lagged_load_.empty() ? load_text(0, 0)
                                                         : lagged_load_);
        if (now - lagged_load_time_ > load_report_lag)
        {
            lagged_load_ = truth;
            lagged_load_time_ = now;
        }
        return;
    }
    case load_report_mode::none:
        return;
    }
}

std::optional<Json::Value> target_server::compute(sub_request const& requested,
                                                  std::string const& body) const
{
    if (!requested.settings.once)
    {
        auto const shards =
            requested.settings.maps.find(requested.snapshot.map);
        auto const count =
            shards == requested.settings.maps.end() ? 1 : shards->second;
        return search(*stock_, {requested.shard, std::max(count, 1U)},
                      requested.snapshot, body);
    }
    Json::Value answer;
    auto const booking = parse_object(body);
    answer["booked"] = booking ? *booking : Json::Value(body);
    answer["request_id"] = requested.request;
    answer["target"] = requested.settings.name;
    return answer;
}

void target_server::set(httplib::Request const& request,
                        httplib::Response& response)
{
    auto settings = slots_.settings();
    for (auto const& [key, value] : request.params)
    {
        auto const done = settings.set(key, value);
        if (!done)
        {
            response.status = 400;
            response.set_content(done.error().detail, "text/plain");
            return;
        }
    }
    slots_.apply_settings(settings);
    response.status = 204;
}

} // namespace kumquatramp::standins
