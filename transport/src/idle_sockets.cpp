// One readability wait and one timer per socket, on one io_context.
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <transport/idle_sockets.hpp>
#include <utility>

namespace kumquatramp
{

struct idle_sockets::entry
{
    entry(asio::io_context& io, int socket)
        : descriptor(io, socket)
        , timer(io)
    {
    }

    asio::posix::stream_descriptor descriptor;
    asio::steady_timer timer;
};

idle_sockets::idle_sockets(handler on_watch_end)
    : on_watch_end_(std::move(on_watch_end))
    , io_(1)
    , work_(io_.get_executor())
    , thread_([this] { io_.run(); })
{
}

idle_sockets::~idle_sockets()
{
    stop();
}

void idle_sockets::watch(int socket, duration max_idle)
{
    asio::post(io_,
               [this, socket, max_idle]
               {
                   if (stopping_)
                   {
                       on_watch_end_(socket, false);
                       return;
                   }
                   auto const watched = std::make_shared<entry>(io_, socket);
                   entries_.insert(watched);
                   watched->timer.expires_after(max_idle);
                   watched->timer.async_wait(
                       [this, watched](asio::error_code ec)
                       {
                           if (!ec)
                           {
                               end_watch(watched, false);
                           }
                       });
                   watched->descriptor.async_wait(
                       asio::posix::stream_descriptor::wait_read,
                       [this, watched](asio::error_code ec)
                       {
                           if (!ec)
                           {
                               end_watch(watched, true);
                           }
                       });
               });
}

void idle_sockets::end_watch(std::shared_ptr<entry> const& watched, bool ready)
{
    if (entries_.erase(watched) == 0)
    {
        return;
    }
    watched->timer.cancel();
    on_watch_end_(watched->descriptor.release(), ready);
}

void idle_sockets::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    asio::post(io_,
               [this]
               {
                   stopping_ = true;
                   while (!entries_.empty())
                   {
                       end_watch(*entries_.begin(), false);
                   }
               });
    work_.reset();
    thread_.join();
}

} // namespace kumquatramp
