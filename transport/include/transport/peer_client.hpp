// Client for the RPC interface of other hosts.
#ifndef KUMQUATRAMP_TRANSPORT_PEER_CLIENT_HPP
#define KUMQUATRAMP_TRANSPORT_PEER_CLIENT_HPP

#include <asio/thread_pool.hpp>
#include <atomic>
#include <base/clock.hpp>
#include <base/random_source.hpp>
#include <json/value.h>
#include <memory>
#include <mutex>
#include <node/actions.hpp>
#include <optional>
#include <signing/signer.hpp>
#include <string>
#include <unordered_map>

namespace kumquatramp
{

class peer_events;
class peer_link;

/// Keeps one idle connection to each peer that it calls; concurrent calls to
/// the same peer open additional connections. Calls run on an internal thread
/// pool, and each network operation of a call is bounded by call_timeout. A
/// call fails immediately if too many calls are queued. Thread-safe.
class peer_client
{
public:
    /// All references must outlive the client.
    peer_client(signer const& key, random_source& random, peer_events& events,
                clock const& time);
    ~peer_client();

    void exchange(exchange_digest const& request);
    void fetch(fetch_config const& request);
    void request_grant(ask_grant const& request);
    void report(report_grant const& request);

    /// Drops queued calls and waits for the calls in progress.
    void stop();

    static constexpr duration call_timeout = 400ms;

private:
    std::optional<Json::Value> call(std::string const& address,
                                    std::string const& method,
                                    Json::Value const& parameters);
    std::unique_ptr<peer_link> acquire_link(std::string const& address);
    void release_link(std::string const& address,
                      std::unique_ptr<peer_link> link);
    template <class Call>
    bool post(Call call);
    template <class Call>
    void run(host_name const& peer, Call call);

    signer const& key_;
    random_source& random_;
    peer_events& events_;
    clock const& time_;
    std::atomic<std::uint32_t> waiting_{0};
    std::mutex mutex_;
    std::unordered_map<std::string, std::unique_ptr<peer_link>>
        links_; // by address; guarded by mutex_
    asio::thread_pool threads_;
};

} // namespace kumquatramp

#endif
