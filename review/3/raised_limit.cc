// A configuration raises MaxBodyBytes while clients hold idle connections.
// Later than ConfigApplyMs after it was accepted, each client sends one order
// that is within the new limit on its kept connection. Checks that none is
// ended as only the older version allows (413).
#include "../stand/rig.h"

namespace
{

constexpr int host_count = 3;
constexpr int clients = 60;
constexpr int old_limit = 16384;
constexpr int new_limit = 262144;
/// ConfigApplyMs of Accra is 3,000; the requests come a second later still.
constexpr double apply_s = 4.0;
constexpr std::size_t small_body = 8000;
constexpr std::size_t large_body = 60000;

std::string configuration(int version, int body_limit)
{
    return R"({"Version":)" + std::to_string(version) +
           R"(,"Routes":[{"Name":"r-orders",)"
           R"("Host":"hufi27.example","Prefix":"/goka902/","Type":"unsafe",)"
           R"("TimeoutMs":4000,"TargetLatencyMs":600,"Priority":2,)"
           R"("Service":"kafi81c","MaxAttempts":2}],)"
           R"("Services":[{"Name":"kafi81c","HealthPath":"/healthz",)"
           R"("MaxConnections":214,"Protocol":"h1","Tls":false,)"
           R"("WarmupS":3.0,"WarmupPerS":0.0}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":)" +
           std::to_string(body_limit) +
           R"(,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
    {
        return 2;
    }
    rig::record::get().open(argv[1]);
    rig::deployment d;
    rig::ledger l;
    std::vector<std::unique_ptr<rig::server>> servers;
    static char const* const zones[] = {"osu", "tema", "madina"};
    for (int i = 0; i < 6; ++i)
    {
        rig::server_options o;
        o.id = "i-7f3a91e" + std::to_string(i);
        o.service = "kafi81c";
        o.ip = "127.0.2." + std::to_string(i + 1);
        o.port = rig::free_port({o.ip});
        o.zone = zones[i % 3];
        o.slots = 6;
        o.queue = 24;
        o.work_ms = 40;
        servers.push_back(std::make_unique<rig::server>(o, l));
        if (!servers.back()->start())
        {
            return 2;
        }
    }
    if (!d.start(host_count))
    {
        return 2;
    }
    bool const trouble = rig::with_trouble();
    d.platform.put("op/config", configuration(7, old_limit));
    for (auto const& s : servers)
    {
        d.platform.put("servers/" + s->options().id, s->entry());
    }
    if (!d.await_ready(15))
    {
        return 2;
    }
    NOTE("all hosts are ready");
    rig::sleep_s(2);
    std::atomic<int> first_served{0};
    std::atomic<int> served{0};
    std::atomic<int> denied{0};
    std::atomic<int> other{0};
    std::atomic<int> begun{0};
    std::atomic<bool> changed{false};
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                auto const& o =
                    d.hosts[static_cast<std::size_t>(i % host_count)]
                        ->options();
                rig::client c;
                if (!c.connect(o.ip, o.clients))
                {
                    ++begun;
                    return;
                }
                rig::client_request r;
                r.body.assign(small_body, 'o');
                std::string id = rig::new_id();
                l.sent(id);
                auto a = c.call(r, id);
                first_served += a.result == rig::read_result::complete &&
                                a.content.status() == 200;
                ++begun;
                while (!changed)
                {
                    rig::sleep_s(0.01);
                }
                rig::sleep_s(apply_s + rig::random_unit());
                if (!c.connected())
                {
                    return;
                }
                r.body.assign(trouble ? large_body : small_body, 'o');
                id = rig::new_id();
                l.sent(id);
                NOTE("client sends %s, %zu bytes, on its kept connection",
                     id.c_str(), r.body.size());
                a = c.call(r, id);
                int const status = a.result == rig::read_result::complete
                                       ? a.content.status()
                                       : 0;
                l.answered(id, status);
                NOTE("client gets %d for %s", status, id.c_str());
                ++(status == 200 ? served : status == 413 ? denied : other);
            });
    }
    while (begun < clients)
    {
        rig::sleep_s(0.01);
    }
    rig::sleep_s(1);
    if (trouble)
    {
        d.platform.put("op/config", configuration(12, new_limit));
        NOTE("version 12 is accepted: MaxBodyBytes %d", new_limit);
    }
    changed = true;
    for (auto& t : threads)
    {
        t.join();
    }
    char line[200];
    std::snprintf(line, sizeof line,
                  "first requests served %d of %d; later ones: served %d, "
                  "413 as the older version says %d, other %d",
                  first_served.load(), clients, served.load(), denied.load(),
                  other.load());
    NOTE("%s", line);
    std::puts(line);
    d.hosts.clear();
    for (auto const& s : servers)
    {
        s->stop();
    }
    if (first_served < clients / 2)
    {
        return 2;
    }
    return denied > 5 + (2 * clients) / 500 ? 1 : 0;
}
