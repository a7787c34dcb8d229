// A host's connection pool to one target, and the sub-requests sent over it.
#ifndef KUMQUATRAMP_SCENARIOS_TARGET_LINK_HPP
#define KUMQUATRAMP_SCENARIOS_TARGET_LINK_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <node/actions.hpp>
#include <node/target_reply.hpp>

namespace kumquatramp::scenarios
{

class fake_target;
class host_driver;

/// A connection carries one sub-request at a time. All methods must run on the
/// host, within its deliver().
class target_link
{
public:
    target_link(host_driver& host, fake_target& target);

    /// Sets the maximum number of connections and how many to open in advance.
    /// Closes idle connections above the maximum.
    void set_limits(std::uint32_t max_connections, std::uint32_t preopened);
    void send(send_attempt const& attempt);
    void cancel(attempt_id const& id);

    /// The target has restarted; connections of older generations are broken.
    void on_restart(std::uint32_t generation);

    /// Closes all connections, because the host ends.
    void close();

private:
    struct pending
    {
        send_attempt attempt;
        bool sent = false;
        std::uint32_t generation = 0; ///< of its connection, once sent
    };

    void open();
    void on_opened(bool opened, std::uint32_t generation);
    void preopen();
    void dispatch_waiting();
    void send_now(pending& entry);
    void on_reply(target_reply reply);
    void on_deadline(attempt_id const& id);
    void end(attempt_id const& id, attempt_outcome outcome);
    void close_one(std::uint32_t generation);
    std::uint32_t total_connections() const { return idle_ + busy_ + opening_; }

    host_driver& host_;
    fake_target& target_;
    std::uint32_t max_connections_ = 0;
    std::uint32_t preopened_ = 0;
    std::uint32_t idle_ = 0;
    std::uint32_t busy_ = 0;
    std::uint32_t opening_ = 0;
    std::uint32_t generation_ = 0; ///< of the idle and busy connections
    std::deque<attempt_id> waiting_;
    std::map<attempt_id, pending> pending_;
};

} // namespace kumquatramp::scenarios

#endif
