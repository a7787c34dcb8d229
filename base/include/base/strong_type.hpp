// Strong typedefs for ids and units.
#ifndef KUMQUATRAMP_BASE_STRONG_TYPE_HPP
#define KUMQUATRAMP_BASE_STRONG_TYPE_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace kumquatramp
{

/// Wraps a Rep in a distinct type that converts to no other strong type.
///
///     using host_name = strong_type<struct host_name_tag, std::string>;
///     host_name const h{"osu-1"};
///     h.value(); // "osu-1"
template <class Tag, class Rep>
class strong_type
{
public:
    using rep = Rep;

    strong_type() = default;
    explicit strong_type(Rep value)
        : value_(std::move(value))
    {
    }

    Rep const& value() const noexcept { return value_; }

    // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on defaulted <=>
    friend auto operator<=>(strong_type const&, strong_type const&) = default;

private:
    Rep value_{};
};

} // namespace kumquatramp

template <class Tag, class Rep>
struct std::hash<kumquatramp::strong_type<Tag, Rep>>
{
    std::size_t
    operator()(kumquatramp::strong_type<Tag, Rep> const& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};

#endif
