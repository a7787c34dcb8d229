// Runs calls on a thread pool and keeps one connection per peer.
#include <asio/post.hpp>
#include <details/json_rpc_call.hpp>
#include <details/peer_link.hpp>
#include <transport/peer_client.hpp>
#include <transport/peer_codec.hpp>
#include <transport/peer_events.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

constexpr std::size_t call_thread_count = 8;
constexpr std::uint32_t max_waiting_calls = 64;

} // namespace

peer_client::peer_client(signer const& key, random_source& random,
                         peer_events& events, clock const& time)
    : key_(key)
    , random_(random)
    , events_(events)
    , time_(time)
    , threads_(call_thread_count)
{
}

peer_client::~peer_client()
{
    stop();
}

void peer_client::stop()
{
    threads_.stop();
    threads_.join();
}

// Queues a call; false if too many calls are queued.
template <class Call>
bool peer_client::post(Call call)
{
    if (++waiting_ > max_waiting_calls)
    {
        --waiting_;
        return false;
    }
    asio::post(threads_,
               [this, call = std::move(call)]
               {
                   --waiting_;
                   call();
               });
    return true;
}

template <class Call>
void peer_client::run(host_name const& peer, Call call)
{
    bool const taken = post(
        [this, peer, call = std::move(call)]
        {
            if (!call())
            {
                events_.on_peer_failed(peer);
            }
        });
    if (!taken)
    {
        asio::post(threads_, [this, peer] { events_.on_peer_failed(peer); });
    }
}

void peer_client::request_grant(ask_grant const& request)
{
    post(
        [this, request]
        {
            Json::Value parameters;
            parameters["target"] = request.target.value();
            auto const asked = time_.now();
            auto const answer =
                call(request.peer.peer_address, "grant", parameters);
            auto const grant = answer ? decode_grant(*answer) : std::nullopt;
            if (grant)
            {
                events_.on_grant_answer(request.peer, request.target, *grant,
                                        asked);
            }
        });
}

void peer_client::report(report_grant const& request)
{
    post(
        [this, request] {
            call(request.peer.peer_address, "report",
                 encode_report(request.report));
        });
}

void peer_client::exchange(exchange_digest const& request)
{
    run(request.peer.name,
        [this, request]
        {
            Json::Value parameters;
            parameters["digest"] = encode_digest(request.digest);
            auto const asked = time_.now();
            auto const answer =
                call(request.peer.peer_address, "exchange", parameters);
            auto const digest = answer ? decode_digest(*answer) : std::nullopt;
            if (digest)
            {
                events_.on_peer_answer(*digest, asked);
            }
            return digest.has_value();
        });
}

void peer_client::fetch(fetch_config const& request)
{
    run(request.peer.name,
        [this, request]
        {
            Json::Value parameters;
            parameters["key"] = std::string(to_string(request.key));
            parameters["held"] = encode_stamp(request.held);
            auto const answer =
                call(request.peer.peer_address, "fetch", parameters);
            auto const update = answer ? decode_update(*answer) : std::nullopt;
            if (update)
            {
                events_.on_config_update(request.peer.name, *update);
            }
            return update.has_value();
        });
}

std::optional<Json::Value> peer_client::call(std::string const& address,
                                             std::string const& method,
                                             Json::Value const& parameters)
{
    auto link = acquire_link(address);
    Json::Value answer;
    if (!json_rpc_call(*link, method, parameters, answer))
    {
        return std::nullopt;
    }
    release_link(address, std::move(link));
    return answer;
}

std::unique_ptr<peer_link> peer_client::acquire_link(std::string const& address)
{
    {
        std::lock_guard const guard(mutex_);
        auto const kept = links_.find(address);
        if (kept != links_.end())
        {
            auto link = std::move(kept->second);
            links_.erase(kept);
            return link;
        }
    }
    return std::make_unique<peer_link>(address, key_, random_, call_timeout);
}

void peer_client::release_link(std::string const& address,
                               std::unique_ptr<peer_link> link)
{
    std::lock_guard const guard(mutex_);
    links_.insert_or_assign(address, std::move(link));
}

} // namespace kumquatramp
