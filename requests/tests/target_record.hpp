// Records the sends to targets and the outcomes reported to callers for each
// request id. The tests check the ledger against it; it is independent of the
// ledger's states.
#ifndef KUMQUATRAMP_REQUESTS_TESTS_TARGET_RECORD_HPP
#define KUMQUATRAMP_REQUESTS_TESTS_TARGET_RECORD_HPP

#include <base/error_answer.hpp>
#include <map>
#include <requests/request_id.hpp>
#include <requests/request_outcome.hpp>
#include <string>
#include <vector>

namespace kumquatramp
{

class target_record
{
public:
    /// The ledger granted the right to send.
    void sent(request_id const& id)
    {
        auto& seen = seen_[id];
        ++seen.sends;
        check(id, seen);
    }

    /// The send certainly did not reach a target.
    void returned(request_id const& id) { --seen_[id].sends; }

    /// A caller was told that the request did not run.
    void reported_not_run(request_id const& id)
    {
        auto& seen = seen_[id];
        seen.reported_not_run = true;
        check(id, seen);
    }

    void reported(request_id const& id, request_outcome const& outcome)
    {
        if (outcome.state == request_state::not_run)
        {
            reported_not_run(id);
        }
        if (outcome.state == request_state::ran && seen_[id].sends != 1)
        {
            faults_.push_back(
                name(id) + ": reported 'ran', but was not sent exactly once");
        }
    }

    /// A caller received an error; some kinds imply that the request did not
    /// run.
    void refused(request_id const& id, error_kind kind)
    {
        if (answer_of(kind).state == run_state::not_run)
        {
            reported_not_run(id);
        }
    }

    std::vector<std::string> const& faults() const { return faults_; }

private:
    struct history
    {
        int sends = 0; // minus those that were returned
        bool reported_not_run = false;
    };

    static std::string name(request_id const& id)
    {
        return id.host.value() + "." + std::to_string(id.life.value()) + "." +
               std::to_string(id.sequence);
    }

    void check(request_id const& id, history const& seen)
    {
        if (seen.sends > 1)
        {
            faults_.push_back(name(id) +
                              ": sent twice without a return in between");
        }
        if (seen.sends > 0 && seen.reported_not_run)
        {
            faults_.push_back(name(id) + ": reported 'not run', but was sent");
        }
    }

    std::map<request_id, history> seen_;
    std::vector<std::string> faults_;
};

} // namespace kumquatramp

#endif
