// Work of connections that is spread over turns of the event loop.
#ifndef KUMQUATRAMP_EVENTLOOP_DETAILS_TURN_QUEUE_HPP
#define KUMQUATRAMP_EVENTLOOP_DETAILS_TURN_QUEUE_HPP

#include <asio/io_context.hpp>
#include <deque>
#include <memory>

namespace kumquatramp::eventloop
{

class server_connection;

/// Resumes connections in the order in which they were pushed, a few in each
/// turn, so that a crowd of them does not delay timers and other sockets.
class turn_queue : public std::enable_shared_from_this<turn_queue>
{
public:
    explicit turn_queue(asio::io_context& loop)
        : loop_(loop)
    {
    }

    void push(std::shared_ptr<server_connection> connection);
    void clear() { waiting_.clear(); }

private:
    void schedule_turn();
    void run_turn();

    asio::io_context& loop_;
    std::deque<std::shared_ptr<server_connection>> waiting_;
    bool scheduled_ = false; ///< a turn has been posted to the loop
};

} // namespace kumquatramp::eventloop

#endif
