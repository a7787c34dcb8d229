// A budget that is shared, or unlimited where none is given.
#ifndef KUMQUATRAMP_EVENTLOOP_BUDGET_REFERENCE_HPP
#define KUMQUATRAMP_EVENTLOOP_BUDGET_REFERENCE_HPP

#include <eventloop/process_budget.hpp>
#include <memory>

namespace kumquatramp::eventloop
{

class budget_reference
{
public:
    /// `shared` must outlive this object; null: an unlimited budget of its own.
    explicit budget_reference(process_budget* shared)
        : own_(shared == nullptr ? std::make_unique<process_budget>() : nullptr)
        , budget_(shared == nullptr ? own_.get() : shared)
    {
    }

    process_budget* operator->() const { return budget_; }

private:
    std::unique_ptr<process_budget> own_;
    process_budget* budget_; ///< never null
};

} // namespace kumquatramp::eventloop

#endif
