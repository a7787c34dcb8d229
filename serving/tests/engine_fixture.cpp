// Simulates the targets of one request engine.
#include "engine_fixture.hpp"
#include <algorithm>
#include <catch2/catch.hpp>

namespace kumquatramp::serving::testing
{

serving_options engine_fixture::default_options()
{
    serving_options o;
    o.retry_ratio = 0.2;
    o.retry_slack = 100;
    return o;
}

engine_fixture::engine_fixture(serving_options options, std::uint64_t seed)
    : random(seed)
    , table("zone-a", 2s, random, log)
    , warmup("self")
    , engine(options, random, table, fleet, warmup, *this)
{
}

void engine_fixture::add_targets(std::string const& service,
                                 std::vector<std::string> const& zones,
                                 int slots)
{
    for (auto const& zone : zones)
    {
        target_record record;
        record.id = service;
        record.id.append("-").append(zone);
        record.service = service;
        record.address = "10.0.0.1:80";
        record.zone = zone;
        record.slots = slots;
        table.put(record, now);
    }
}

void engine_fixture::configure(std::vector<std::string> const& services,
                               double min_coverage, std::uint64_t version)
{
    catalogue_data data;
    data.version = version;
    route all;
    all.name = "all";
    all.host = "shop.example";
    all.prefix = "/all/";
    all.idempotent = true;
    all.timeout = 800ms;
    all.latency_objective = 150ms;
    all.max_attempts = 2;
    all.shards = services;
    all.top_records = 10;
    all.min_coverage = min_coverage;
    data.routes.push_back(all);
    for (auto const& service : services)
    {
        route plain = all;
        plain.name = "plain-" + service;
        plain.prefix = "/" + service + "/";
        plain.shards.clear();
        plain.split = {{service, 1.0}};
        data.routes.push_back(plain);
        plain.name = "once-" + service;
        plain.prefix = "/once/" + service + "/";
        plain.idempotent = false;
        data.routes.push_back(plain);
        data.services.push_back({service, "/healthz", 80, 0});
    }
    engine.set_catalogue(std::make_shared<route_catalogue const>(data));
}

void engine_fixture::submit(request_handle handle, std::string_view path,
                            duration time_left)
{
    engine.submit({handle, "shop.example", path, time_left}, now);
}

void engine_fixture::advance(duration length)
{
    time_point const end = now + length;
    while (engine.next_due() <= end)
    {
        now = std::max(now, engine.next_due());
        engine.tick(now);
    }
    now = end;
    engine.tick(now);
}

attempt_handle engine_fixture::newest_at(std::string const& target) const
{
    for (auto it = open_.rbegin(); it != open_.rend(); ++it)
    {
        if (it->second.to->record.id == target)
        {
            return it->first;
        }
    }
    FAIL("no attempt is open at " << target);
    return 0;
}

void engine_fixture::reply_ok(std::string const& target, std::string body)
{
    target_reply r;
    r.kind = reply_kind::answered;
    r.status = 200;
    r.stamped = true;
    r.stamp = "stamp-" + target;
    r.body = std::move(body);
    reply(target, std::move(r));
}

void engine_fixture::reply(std::string const& target, reply_kind kind,
                           int status)
{
    target_reply r;
    r.kind = kind;
    r.status = status;
    r.stamped = kind == reply_kind::answered;
    r.stamp = r.stamped ? "stamp-" + target : "";
    r.misdirected = status == 421;
    r.cause = "by the test";
    reply(target, std::move(r));
}

void engine_fixture::reply(std::string const& target, target_reply r)
{
    attempt_handle const attempt = newest_at(target);
    open_.erase(attempt);
    engine.on_reply(attempt, r, now);
}

void engine_fixture::reply_all_but(std::vector<std::string> const& silent)
{
    std::vector<std::string> targets;
    for (auto const& [attempt, order] : open_)
    {
        targets.push_back(order.to->record.id);
    }
    for (auto const& t : targets)
    {
        if (std::find(silent.begin(), silent.end(), t) == silent.end())
        {
            reply_ok(t);
        }
    }
}

bool engine_fixture::open_at(std::string const& target) const
{
    return std::any_of(open_.begin(), open_.end(),
                       [&](auto const& entry)
                       { return entry.second.to->record.id == target; });
}

std::size_t engine_fixture::sends_to(std::string const& target) const
{
    return static_cast<std::size_t>(
        std::count(sent.begin(), sent.end(), target));
}

void engine_fixture::start_attempt(attempt_order const& order)
{
    REQUIRE_FALSE(released.contains(order.request));
    open_[order.attempt] = order;
    sent.push_back(order.to->record.id);
}

void engine_fixture::abandon_attempt(attempt_handle attempt)
{
    abandoned.push_back(attempt);
}

void engine_fixture::answer(request_handle request, client_answer answer)
{
    INFO("request " << request << " has one answer");
    REQUIRE_FALSE(answers.contains(request));
    REQUIRE_FALSE(released.contains(request));
    answers.emplace(request, std::move(answer));
}

void engine_fixture::log_request(request_handle request,
                                 request_summary const& summary)
{
    REQUIRE_FALSE(released.contains(request));
    summaries[request] = summary;
}

void engine_fixture::release_request(request_handle request)
{
    INFO("request " << request << " is released once");
    REQUIRE(released.insert(request).second);
}

} // namespace kumquatramp::serving::testing
