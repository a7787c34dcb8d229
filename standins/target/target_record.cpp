// Records the executions and connections of a stand-in target.
#include <algorithm>
#include <standins/target/target_record.hpp>

namespace kumquatramp::standins
{

namespace
{

Json::Value to_json(execution const& entry)
{
    Json::Value json;
    json["attempt"] = entry.attempt;
    json["request"] = entry.request;
    json["since_start_ms"] = entry.since_start_ms;
    json["cold"] = entry.cold;
    json["in_flight"] = entry.in_flight;
    json["drained"] = entry.drained;
    return json;
}

} // namespace

void target_record::add(execution entry)
{
    std::lock_guard const guard(mutex_);
    ++count_;
    if (entry.cold)
    {
        peak_cold_ = std::max(peak_cold_, entry.in_flight);
    }
    if (executions_.size() < max_executions)
    {
        executions_.push_back(std::move(entry));
    }
}

void target_record::refused(bool draining)
{
    std::lock_guard const guard(mutex_);
    ++(draining ? refused_draining_ : shed_);
}

void target_record::connection_opened()
{
    std::lock_guard const guard(mutex_);
    ++connections_;
    peak_connections_ = std::max(peak_connections_, connections_);
}

void target_record::connection_closed()
{
    std::lock_guard const guard(mutex_);
    --connections_;
}

void target_record::connection_refused()
{
    std::lock_guard const guard(mutex_);
    ++connections_refused_;
}

std::uint32_t target_record::connections() const
{
    std::lock_guard const guard(mutex_);
    return connections_;
}

Json::Value target_record::to_json() const
{
    std::lock_guard const guard(mutex_);
    Json::Value json;
    json["executed"] = Json::UInt64{count_};
    json["shed"] = Json::UInt64{shed_};
    json["refused_draining"] = Json::UInt64{refused_draining_};
    json["peak_while_cold"] = peak_cold_;
    json["connections"] = connections_;
    json["peak_connections"] = peak_connections_;
    json["connections_refused"] = Json::UInt64{connections_refused_};
    json["executions"] = Json::arrayValue;
    for (auto const& each : executions_)
    {
        json["executions"].append(standins::to_json(each));
    }
    return json;
}

} // namespace kumquatramp::standins
