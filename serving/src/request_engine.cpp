// Public interface of the request engine; forwards to its details.
#include "details/engine_details.hpp"
#include <serving/request_engine.hpp>

namespace kumquatramp::serving
{

request_engine::request_engine(serving_options options, random_source& random,
                               target_table& table, fleet_size const& fleet,
                               warmup_share& warmup, engine_port& port)
    : details_(std::make_unique<details>(options, random, table, fleet, warmup,
                                         port))
{
}

request_engine::~request_engine() = default;

bool request_engine::set_catalogue(
    std::shared_ptr<route_catalogue const> catalogue)
{
    auto& present = details_->catalogue_;
    if ((present && catalogue->version() <= present->version()) ||
        catalogue->version() < details_->newest_version_)
    {
        return false;
    }
    present = std::move(catalogue);
    details_->newest_version_ = present->version();
    return true;
}

void request_engine::withdraw_catalogue()
{
    details_->catalogue_.reset();
}

void request_engine::confirm_catalogue(time_point now)
{
    details_->confirmed_at_ = now;
}

route_catalogue const* request_engine::catalogue() const
{
    return details_->catalogue_.get();
}

void request_engine::set_options(serving_options const& options)
{
    details_->set_options(options);
}

void request_engine::end_by(time_point end)
{
    details_->end_by(end);
}

void request_engine::submit(client_request const& request, time_point now)
{
    details_->submit(request, now);
}

void request_engine::client_gone(request_handle request, time_point now)
{
    details_->client_gone(request, now);
}

void request_engine::on_reply(attempt_handle attempt, target_reply& reply,
                              time_point now)
{
    details_->on_reply(attempt, reply, now);
}

bool request_engine::may_send(attempt_handle attempt, time_point now) const
{
    return details_->may_send(attempt, now);
}

void request_engine::tick(time_point now)
{
    details_->tick(now);
}

time_point request_engine::next_due() const
{
    return details_->timers_.empty() ? never : details_->timers_.top().at;
}

std::size_t request_engine::in_progress() const
{
    return details_->requests_.size();
}

std::size_t request_engine::held_bytes() const
{
    return details_->held_bytes_;
}

engine_counters const& request_engine::counters() const
{
    return details_->counters_;
}

std::optional<double> request_engine::least_budget_left(time_point now)
{
    return details_->least_budget_left(now);
}

} // namespace kumquatramp::serving
