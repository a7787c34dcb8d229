// A validator that refuses texts that contain "bad" and counts its calls.
#ifndef KUMQUATRAMP_CONFIG_TESTS_FAKE_VALIDATOR_HPP
#define KUMQUATRAMP_CONFIG_TESTS_FAKE_VALIDATOR_HPP

#include <atomic>
#include <config/value_validator.hpp>

namespace kumquatramp
{

class fake_validator final : public value_validator
{
public:
    std::vector<rule_fault> validate(config_key /*key*/,
                                     std::string_view text) const override
    {
        ++calls_;
        if (text.find("bad") == std::string_view::npos)
        {
            return {};
        }
        return {{1, "'bad' is a fault"}};
    }

    int calls() const { return calls_; }

private:
    mutable std::atomic<int> calls_{0};
};

} // namespace kumquatramp

#endif
