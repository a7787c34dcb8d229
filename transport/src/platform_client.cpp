// One reader thread per configuration key.
#include <details/platform_read_thread.hpp>
#include <transport/platform_client.hpp>

namespace kumquatramp
{

platform_client::platform_client(socket_address const& platform,
                                 platform_events& events, clock const& time)
{
    for (std::size_t i = 0; i < all_config_keys.size(); ++i)
    {
        readers_.push_back(
            std::make_unique<platform_read_thread>(platform, events, time));
    }
}

platform_client::~platform_client() = default;

void platform_client::read(read_platform const& wanted)
{
    readers_[static_cast<std::size_t>(wanted.key)]->read(wanted);
}

void platform_client::stop()
{
    for (auto const& reader : readers_)
    {
        reader->stop();
    }
}

} // namespace kumquatramp
