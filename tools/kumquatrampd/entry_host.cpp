// Connects one node to its transports and runs them.
#include "entry_host.hpp"
#include "status_watch.hpp"
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <base/seeded_random.hpp>
#include <csignal>
#include <eventloop/boot_clock.hpp>
#include <random>
#include <signing/signer.hpp>
#include <thread>
#include <transport/admin_routes.hpp>
#include <transport/admin_server.hpp>
#include <transport/caller_port.hpp>
#include <transport/event_log.hpp>
#include <transport/node_driver.hpp>
#include <transport/peer_server.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

std::uint64_t draw_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

port_options admin_options()
{
    port_options options;
    options.workers = 4;
    options.max_queued = 32;
    options.max_connections = 64;
    return options;
}

} // namespace

struct entry_host::components
{
    components(daemon_settings const& settings,
               std::unique_ptr<event_log> opened)
        : log(std::move(opened))
        , random(draw_seed())
        , key(settings.node.fleet_key)
        , driver(settings.node, settings.platform,
                 {loop, time, random, key, *log})
        , peers(peer_io, key, driver)
        , callers(loop, time, settings.caller_port, driver)
        , admin(admin_options(), time)
        , watch(loop, driver, *log)
    {
        add_admin_routes(admin.routes(), driver);
    }

    eventloop::boot_clock time;
    asio::io_context loop{1};
    asio::io_context peer_io{1};
    std::unique_ptr<event_log> log;
    seeded_random random;
    signer key;
    node_driver driver;
    peer_server peers;
    caller_port callers;
    admin_server admin;
    status_watch watch;
};

entry_host::entry_host(daemon_settings settings)
    : settings_(std::move(settings))
{
    settings_.node.life = incarnation{draw_seed()};
}

entry_host::~entry_host() = default;

boost::outcome_v2::unchecked<void, settings_fault> entry_host::open()
{
    using fault = settings_fault;
    auto log = event_log::open(
        settings_.log_file, settings_.node.self.name.value(), settings_.level);
    if (!log)
    {
        return fault{"log", "file", log.error().detail};
    }
    components_ =
        std::make_unique<components>(settings_, std::move(log.value()));
    auto const peers = components_->peers.listen(settings_.peers);
    if (!peers)
    {
        return fault{"host", "peers", peers.error().detail};
    }
    auto const admin = components_->admin.start(settings_.admin);
    if (!admin)
    {
        return fault{"host", "admin", admin.error().detail};
    }
    auto const callers = components_->callers.start(settings_.callers);
    if (!callers)
    {
        return fault{"host", "callers", callers.error().detail};
    }
    return boost::outcome_v2::success();
}

int entry_host::run()
{
    auto& p = *components_;
    int code = 0;
    asio::signal_set signals(p.loop, SIGTERM, SIGINT);
    std::function<void(asio::error_code, int)> const on_signal =
        [&](asio::error_code ec, int number)
    {
        if (ec)
        {
            return;
        }
        p.log->write(log_level::info, "shutting_down", {{"signal", number}});
        p.driver.shut_down();
        signals.async_wait(
            [&](asio::error_code second, int)
            {
                if (!second)
                {
                    code = 1;
                    p.loop.stop();
                }
            });
    };
    signals.async_wait(on_signal);
    auto const work = asio::make_work_guard(p.peer_io);
    std::thread peer_thread([&p] { p.peer_io.run(); });
    p.log->write(log_level::info, "started",
                 {{"callers", to_string(settings_.callers)},
                  {"admin", to_string(settings_.admin)},
                  {"peers", to_string(settings_.peers)}});
    p.driver.start([&p] { p.callers.stop([&p] { p.loop.stop(); }); });
    p.watch.start();
    p.loop.run();
    if (code != 0)
    {
        p.log->write(log_level::warning, "stopped_at_once", {});
        std::_Exit(code);
    }
    p.admin.stop();
    p.peers.stop();
    p.driver.stop();
    p.peer_io.stop();
    peer_thread.join();
    p.log->write(log_level::info, "stopped", {});
    return 0;
}

} // namespace kumquatramp
