// Servers refuse while they are full. During "garble", some of their answers
// come a second time where the next answer is due on that connection. Checks
// that no request that may run once runs twice, and that none that ran is
// answered with a status that promises that it did not.
#include "../stand/rig.h"

namespace
{

constexpr int host_count = 15;
constexpr int server_count = 15;
constexpr int clients = 160;
constexpr double run_s = 90;
/// Each spell of "garble" and the pause after it.
constexpr double spell_s = 5.0;
constexpr double pause_s = 1.0;
/// Of the largest dose in the site files: half of the servers, 4 of 100
/// answers.
constexpr double copies = 0.04;

std::string configuration()
{
    return R"({"Version":7,"Routes":[{"Name":"r-orders",)"
           R"("Host":"hufi27.example","Prefix":"/goka902/","Type":"unsafe",)"
           R"("TimeoutMs":4000,"TargetLatencyMs":600,"Priority":2,)"
           R"("Service":"kafi81c","MaxAttempts":2}],)"
           R"("Services":[{"Name":"kafi81c","HealthPath":"/healthz",)"
           R"("MaxConnections":214,"Protocol":"h1","Tls":false,)"
           R"("WarmupS":3.0,"WarmupPerS":0.0}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,)"
           R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

struct totals
{
    std::atomic<long> sent{0};
    std::atomic<long> served{0};
    std::atomic<long> refused{0};
    std::atomic<long> failed{0};
};

/// One customer: asks the directory, keeps a connection, sends orders.
void customer(rig::deployment& d, rig::ledger& l, totals& t, int number,
              std::atomic<bool> const& over)
{
    auto const& home = d.hosts[static_cast<std::size_t>(number % host_count)];
    rig::client c;
    while (!over)
    {
        if (!c.connected())
        {
            auto const found =
                rig::resolve(home->options(), home->options().zone);
            if (found.empty())
            {
                rig::sleep_s(0.2);
                continue;
            }
            auto const& [ip, port] = found[static_cast<std::size_t>(
                rig::random_unit() * static_cast<double>(found.size()))];
            if (!c.connect(ip, port))
            {
                rig::sleep_s(0.2);
                continue;
            }
        }
        std::string const id = rig::new_id();
        rig::client_request r;
        r.body = "order " + id;
        l.sent(id);
        ++t.sent;
        NOTE("client sends %s", id.c_str());
        auto const a = c.call(r, id);
        int const status =
            a.result == rig::read_result::complete ? a.content.status() : 0;
        l.answered(id, status);
        NOTE("client gets %d for %s", status, id.c_str());
        ++(status == 200                    ? t.served
           : status == 503 || status == 429 ? t.refused
                                            : t.failed);
        if (status == 503 || status == 429)
        {
            rig::sleep_s(std::min(
                1.0, std::atof(a.content.header("Retry-After").c_str())));
        }
    }
}

int judge(rig::ledger& l, totals const& t)
{
    long twice = 0;
    long false_promises = 0;
    for (auto const& [id, e] : l.entries())
    {
        if (e.runs.size() > 1)
        {
            ++twice;
            NOTE("TWICE %s ran %zu times, at %s and %s", id.c_str(),
                 e.runs.size(), e.runs[0].c_str(), e.runs[1].c_str());
        }
        bool const promise = e.status == 429 || e.status == 503 ||
                             e.status == 408 || e.status == 421;
        if (promise && !e.runs.empty())
        {
            ++false_promises;
            NOTE("REFUSED %s got %d and ran at %s", id.c_str(), e.status,
                 e.runs[0].c_str());
        }
    }
    char line[256];
    std::snprintf(line, sizeof line,
                  "sent %ld, served %ld, refused %ld, failed %ld; ran twice "
                  "%ld, refused and ran %ld",
                  t.sent.load(), t.served.load(), t.refused.load(),
                  t.failed.load(), twice, false_promises);
    NOTE("%s", line);
    std::puts(line);
    if (t.served < 1000)
    {
        return 2;
    }
    return twice + false_promises > 0 ? 1 : 0;
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
    for (int i = 0; i < server_count; ++i)
    {
        rig::server_options o;
        o.id = "i-7f3a91c" + std::to_string(i);
        o.service = "kafi81c";
        o.ip = "127.0.2." + std::to_string(i + 1);
        o.port = rig::free_port({o.ip});
        o.zone = zones[i % 3];
        o.slots = 2;
        o.queue = 8;
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
    d.platform.put("op/config", configuration());
    for (auto const& s : servers)
    {
        d.platform.put("servers/" + s->options().id, s->entry());
    }
    if (!d.await_ready(15))
    {
        return 2;
    }
    NOTE("all hosts are ready");
    rig::sleep_s(6);
    totals t;
    std::atomic<bool> over{false};
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i)
    {
        threads.emplace_back([&, i] { customer(d, l, t, i, over); });
    }
    double const end = rig::now_s() + run_s;
    while (rig::now_s() < end)
    {
        rig::sleep_s(pause_s);
        if (rig::with_trouble())
        {
            NOTE("garble begins");
            for (std::size_t i = 1; i < servers.size(); i += 2)
            {
                servers[i]->late_copy = copies;
            }
        }
        rig::sleep_s(spell_s);
        for (auto const& s : servers)
        {
            s->late_copy = 0;
        }
        NOTE("garble ends");
    }
    over = true;
    for (auto& thread : threads)
    {
        thread.join();
    }
    rig::sleep_s(1);
    int const result = judge(l, t);
    d.hosts.clear();
    for (auto const& s : servers)
    {
        s->stop();
    }
    return result;
}
