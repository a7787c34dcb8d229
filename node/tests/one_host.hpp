// Test fixture: one node whose targets answer as the test defines.
#ifndef KUMQUATRAMP_NODE_TESTS_ONE_HOST_HPP
#define KUMQUATRAMP_NODE_TESTS_ONE_HOST_HPP

#include <base/seeded_random.hpp>
#include <functional>
#include <map>
#include <node/node.hpp>
#include <string>
#include <vector>

namespace kumquatramp
{

/// The only host of a deployment with an idempotent service "find" and a
/// non-idempotent service "book". Each has one shard on targets a, b and c.
class one_host
{
public:
    using reply_function = std::function<target_reply(send_attempt const&)>;

    /// `reply` gives the reply to each send outside warm_up().
    explicit one_host(reply_function reply);

    /// Serves requests to both services with complete answers until all targets
    /// are warm, then clears `sends`.
    void warm_up();

    /// Submits a request and advances time by `wait`; returns the answer, if
    /// any. `once` selects the non-idempotent service.
    std::optional<request_answer> ask(bool once, duration wait);

    /// Number of permitted sends by target.
    std::map<std::string, int> sends;

    /// A complete answer to the send.
    static target_reply answer_to(send_attempt const& send);

private:
    void run(duration time);
    void carry_out(action_list& actions);

    seeded_random random_{1};
    node node_;
    reply_function reply_;
    bool warming_ = false;
    time_point now_{};
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, request_answer> answers_;
    action_list actions_;
};

} // namespace kumquatramp

#endif
