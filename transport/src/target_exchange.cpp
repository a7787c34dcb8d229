// Target protocol: writes request headers and reads answer headers.
#include <algorithm>
#include <charconv>
#include <eventloop/http_message.hpp>
#include <fmt/format.h>
#include <iterator>
#include <limits/attempt_outcome.hpp>
#include <node/actions.hpp>
#include <transport/json_scan.hpp>
#include <transport/target_exchange.hpp>

namespace kumquatramp
{

namespace
{

using eventloop::http_message;

constexpr int http_ok = 200;
constexpr int http_no_content = 204;
constexpr int http_conflict = 409;
constexpr int http_unavailable = 503;
constexpr std::size_t max_held_snapshots = 64;

std::string snapshot_text(snapshot_id snapshot)
{
    return std::to_string(snapshot.map) + "/" + std::to_string(snapshot.index);
}

template <class Number>
bool read_number(std::string_view text, Number& number)
{
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end;
}

std::optional<snapshot_id> read_snapshot(std::string_view text)
{
    auto const slash = text.find('/');
    snapshot_id snapshot;
    bool const valid = slash != std::string_view::npos &&
                       read_number(text.substr(0, slash), snapshot.map) &&
                       read_number(text.substr(slash + 1), snapshot.index);
    return valid ? std::optional(snapshot) : std::nullopt;
}

std::vector<snapshot_id> read_held_snapshots(std::string_view text)
{
    std::vector<snapshot_id> holds;
    while (!text.empty() && holds.size() < max_held_snapshots)
    {
        auto const comma = std::min(text.find(','), text.size());
        if (auto const snapshot = read_snapshot(text.substr(0, comma)))
        {
            holds.push_back(*snapshot);
        }
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return holds;
}

/// Parses "busy=2 queued=0".
std::optional<load_report> read_load(std::string_view text)
{
    auto const space = text.find(' ');
    constexpr std::string_view busy = "busy=";
    constexpr std::string_view queued = "queued=";
    if (space == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const first = text.substr(0, space);
    auto const second = text.substr(space + 1);
    load_report report;
    bool const valid = first.starts_with(busy) && second.starts_with(queued) &&
                       read_number(first.substr(busy.size()), report.busy) &&
                       read_number(second.substr(queued.size()), report.queued);
    return valid ? std::optional(report) : std::nullopt;
}

attempt_outcome outcome_of_refusal(http_message const& answer)
{
    auto const refused = answer.header("Refused");
    if (answer.status == http_unavailable && refused == "shed")
    {
        return attempt_outcome::refused;
    }
    if (answer.status == http_unavailable && refused == "draining")
    {
        return attempt_outcome::draining;
    }
    if (answer.status == http_conflict && refused == "wrong_snapshot")
    {
        return attempt_outcome::wrong_snapshot;
    }
    return attempt_outcome::failed;
}

/// Reads the content of an answer with status 200; false if it is malformed.
bool read_result(send_attempt const& send, http_message const& answer,
                 target_reply& reply)
{
    bool const framed = answer.has_header("Content-Length") ||
                        answer.has_header("Transfer-Encoding");
    auto const snapshot = read_snapshot(answer.header("Snapshot"));
    std::uint32_t shard = 0;
    if (!framed || !snapshot || !read_number(answer.header("Shard"), shard))
    {
        return false;
    }
    reply.snapshot = *snapshot;
    reply.shard = shard_index{shard};
    if (!send.idempotent)
    {
        reply.payload = answer.body;
        return is_json(answer.body);
    }
    auto const items = find_array(answer.body, "items");
    if (items)
    {
        reply.payload = *items;
    }
    return items.has_value();
}

} // namespace

std::string serialize_execute_request(send_attempt const& send,
                                      std::string_view trace, time_point now)
{
    auto const left = std::chrono::ceil<std::chrono::milliseconds>(
        std::max<duration>(send.deadline - now, 1ms));
    std::string bytes;
    auto out = std::back_inserter(bytes);
    fmt::format_to(out,
                   "POST /v1/execute HTTP/1.1\r\nHost: {}\r\n"
                   "Attempt-Id: {}\r\nService: {}\r\nShard: {}\r\n"
                   "Deadline-Ms: {}\r\nKumquatramp-Trace: {}\r\n"
                   "Content-Type: application/json\r\n",
                   send.address, to_string(send.id), send.service.value(),
                   send.shard.value(), left.count(), trace);
    if (send.snapshot != snapshot_id{})
    {
        fmt::format_to(out, "Snapshot: {}\r\n", snapshot_text(send.snapshot));
    }
    if (!send.request_id.empty())
    {
        fmt::format_to(out, "Request-Id: {}\r\n", send.request_id);
    }
    std::string_view const body = send.body ? *send.body : std::string_view();
    fmt::format_to(out, "Content-Length: {}\r\n\r\n{}", body.size(), body);
    return bytes;
}

std::string serialize_cancel_request(attempt_id const& id,
                                     std::string_view address)
{
    return fmt::format("POST /v1/cancel HTTP/1.1\r\nHost: {}\r\n"
                       "Attempt-Id: {}\r\nContent-Length: 0\r\n\r\n",
                       address, to_string(id));
}

target_reply read_target_answer(send_attempt const& send,
                                http_message const& answer)
{
    target_reply reply;
    reply.id = send.id;
    reply.echoed = parse_attempt_id(answer.header("Attempt-Id"));
    if (reply.echoed != send.id)
    {
        reply.outcome = attempt_outcome::malformed;
        return reply;
    }
    reply.load = read_load(answer.header("Load"));
    reply.holds = read_held_snapshots(answer.header("Holds"));
    if (answer.status == http_ok)
    {
        bool const valid = read_result(send, answer, reply);
        reply.outcome =
            valid ? attempt_outcome::answered : attempt_outcome::malformed;
        return reply;
    }
    reply.outcome = answer.status == http_no_content
                        ? attempt_outcome::malformed
                        : outcome_of_refusal(answer);
    return reply;
}

attempt_outcome outcome_of(eventloop::send_outcome ended,
                           std::optional<target_reply> const& answer,
                           abandon_reason reason)
{
    using eventloop::send_outcome;
    if (ended == send_outcome::answered && answer)
    {
        bool const settled = answer->outcome == attempt_outcome::answered ||
                             certainly_not_run(answer->outcome);
        return reason.withdrawn && !settled ? attempt_outcome::cancelled
                                            : answer->outcome;
    }
    if (ended == send_outcome::unconnected)
    {
        return attempt_outcome::connect_failed;
    }
    if (ended == send_outcome::not_sent)
    {
        return attempt_outcome::not_sent;
    }
    if (reason.withdrawn)
    {
        return attempt_outcome::cancelled;
    }
    if (reason.timed_out)
    {
        return attempt_outcome::timed_out;
    }
    return ended == send_outcome::broken ? attempt_outcome::broken
                                         : attempt_outcome::malformed;
}

} // namespace kumquatramp
