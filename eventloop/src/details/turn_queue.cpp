// Posts one turn after the other while connections wait.
#include "details/turn_queue.hpp"
#include "details/server_connection.hpp"
#include <algorithm>
#include <asio/post.hpp>

namespace kumquatramp::eventloop
{

namespace
{

constexpr std::size_t connections_per_turn = 4;

} // namespace

void turn_queue::push(std::shared_ptr<server_connection> connection)
{
    waiting_.push_back(std::move(connection));
    schedule_turn();
}

void turn_queue::schedule_turn()
{
    if (!scheduled_ && !waiting_.empty())
    {
        scheduled_ = true;
        asio::post(loop_, [self = shared_from_this()] { self->run_turn(); });
    }
}

void turn_queue::run_turn()
{
    scheduled_ = false;
    // A connection that is pushed again has its next turn later.
    std::size_t const count = std::min(connections_per_turn, waiting_.size());
    for (std::size_t i = 0; i < count && !waiting_.empty(); ++i)
    {
        auto const connection = std::move(waiting_.front());
        waiting_.pop_front();
        connection->resume();
    }
    schedule_turn();
}

} // namespace kumquatramp::eventloop
