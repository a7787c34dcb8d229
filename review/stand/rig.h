// Stand-ins for the review's scripts: the platform's store, servers, clients
// and the control of the product's processes. Blocking sockets, one thread a
// connection, no library beyond the C++ standard library.
#ifndef REVIEW_STAND_RIG_H
#define REVIEW_STAND_RIG_H

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig
{

using steady = std::chrono::steady_clock;

inline steady::time_point const started = steady::now();

/// Seconds since the start of the script.
inline double now_s()
{
    return std::chrono::duration<double>(steady::now() - started).count();
}

inline void sleep_s(double s)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

inline double random_unit()
{
    thread_local std::mt19937_64 engine(std::random_device{}());
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine);
}

/// The file record.txt; thread-safe.
class record
{
public:
    static record& get()
    {
        static record r;
        return r;
    }
    void open(std::string const& path)
    {
        file_ = std::fopen(path.c_str(), "w");
    }
    void line(char const* format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard const lock(mutex_);
        if (file_ == nullptr)
        {
            return;
        }
        std::fprintf(file_, "%9.4f ", now_s());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};

#define NOTE(...) ::rig::record::get().line(__VA_ARGS__)

// ---------------------------------------------------------------- sockets

inline sockaddr_in to_address(std::string const& ip, int port)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

inline int listen_on(std::string const& ip, int port)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const at = to_address(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0 ||
        listen(fd, 512) != 0)
    {
        close(fd);
        return -1;
    }
    return fd;
}

/// A TCP port that is free on all of these addresses (for UDP too).
inline int free_port(std::vector<std::string> const& ips)
{
    static std::set<int> given;
    for (int i = 0; i < 2000; ++i)
    {
        int const port = 20000 + static_cast<int>(random_unit() * 20000);
        bool good = given.count(port) == 0;
        for (auto const& ip : ips)
        {
            auto const at = to_address(ip, port);
            for (int const type : {SOCK_STREAM, SOCK_DGRAM})
            {
                int const fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
                good = good && bind(fd, reinterpret_cast<sockaddr const*>(&at),
                                    sizeof at) == 0;
                close(fd);
            }
        }
        if (good)
        {
            given.insert(port);
            return port;
        }
    }
    return 0;
}

inline int connect_to(std::string const& ip, int port, double timeout_s)
{
    int const fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto const at = to_address(ip, port);
    connect(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at);
    pollfd p{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&p, 1, static_cast<int>(timeout_s * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, 0);
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, std::string_view bytes)
{
    while (!bytes.empty())
    {
        ssize_t const n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

// ---------------------------------------------------------------- HTTP

struct message
{
    std::string start; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(char const* name) const
    {
        for (auto const& [n, v] : headers)
        {
            if (strcasecmp(n.c_str(), name) == 0)
            {
                return v;
            }
        }
        return {};
    }
    int status() const
    {
        return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        auto const from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
};

enum class read_result
{
    complete,
    closed,  ///< before the first byte of a message
    broken,  ///< in the middle of one, or a reset
    expired, ///< the time is over
};

/// Reads messages with a Content-Length (the product sends no other).
class reader
{
public:
    explicit reader(int fd)
        : fd_(fd)
    {
    }

    read_result next(message& m, steady::time_point until)
    {
        m = {};
        for (;;)
        {
            auto const end = buffer_.find("\r\n\r\n");
            if (end != std::string::npos)
            {
                parse_head(m, end);
                std::size_t const length = static_cast<std::size_t>(
                    std::atoll(m.header("Content-Length").c_str()));
                while (buffer_.size() < end + 4 + length)
                {
                    auto const r = more(until);
                    if (r != read_result::complete)
                    {
                        return r == read_result::closed ? read_result::broken
                                                        : r;
                    }
                }
                m.body = buffer_.substr(end + 4, length);
                buffer_.erase(0, end + 4 + length);
                return read_result::complete;
            }
            auto const r = more(until);
            if (r != read_result::complete)
            {
                return r == read_result::closed && !buffer_.empty()
                           ? read_result::broken
                           : r;
            }
        }
    }

    bool has_bytes() const { return !buffer_.empty(); }

private:
    read_result more(steady::time_point until)
    {
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - steady::now());
        pollfd p{fd_, POLLIN, 0};
        if (left.count() <= 0 ||
            poll(&p, 1, static_cast<int>(left.count()) + 1) != 1)
        {
            return read_result::expired;
        }
        char bytes[65536];
        ssize_t const n = recv(fd_, bytes, sizeof bytes, 0);
        if (n == 0)
        {
            return read_result::closed;
        }
        if (n < 0)
        {
            return read_result::broken;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return read_result::complete;
    }

    void parse_head(message& m, std::size_t end)
    {
        std::size_t at = buffer_.find("\r\n");
        m.start = buffer_.substr(0, at);
        while (at < end)
        {
            std::size_t const from = at + 2;
            at = buffer_.find("\r\n", from);
            std::string const text = buffer_.substr(from, at - from);
            auto const colon = text.find(':');
            if (colon != std::string::npos)
            {
                auto const value = text.find_first_not_of(' ', colon + 1);
                m.headers.emplace_back(text.substr(0, colon),
                                       value == std::string::npos
                                           ? std::string()
                                           : text.substr(value));
            }
        }
    }

    int fd_;
    std::string buffer_;
};

inline steady::time_point in_s(double s)
{
    return steady::now() + std::chrono::duration_cast<steady::duration>(
                               std::chrono::duration<double>(s));
}

/// Accepts connections and runs a function for each in a thread of its own.
class listener
{
public:
    ~listener() { stop(); }

    bool start(std::string const& ip, int port, std::function<void(int)> serve)
    {
        fd_ = listen_on(ip, port);
        if (fd_ < 0)
        {
            return false;
        }
        thread_ = std::thread(
            [this, serve = std::move(serve)]
            {
                for (;;)
                {
                    int const c = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                    if (c < 0)
                    {
                        return;
                    }
                    int const on = 1;
                    setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                    {
                        std::lock_guard const lock(mutex_);
                        open_.insert(c);
                        ++serving_;
                    }
                    std::thread(
                        [this, c, serve]
                        {
                            serve(c);
                            std::lock_guard const lock(mutex_);
                            open_.erase(c);
                            close(c);
                            --serving_;
                            ended_.notify_all();
                        })
                        .detach();
                }
            });
        return true;
    }

    void stop()
    {
        if (fd_ < 0)
        {
            return;
        }
        shutdown(fd_, SHUT_RDWR);
        thread_.join();
        close(fd_);
        fd_ = -1;
        std::unique_lock lock(mutex_);
        for (int const c : open_)
        {
            shutdown(c, SHUT_RDWR);
        }
        ended_.wait_for(lock, std::chrono::seconds(5),
                        [this] { return serving_ == 0; });
    }

private:
    int fd_ = -1;
    std::thread thread_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::set<int> open_;
    int serving_ = 0;
};

// ---------------------------------------------------------------- store

inline std::string base64(std::string_view in)
{
    static char const alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopq"
                                   "rstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3)
    {
        unsigned group = 0;
        std::size_t const n = std::min<std::size_t>(3, in.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = group << 8U |
                    (j < n ? static_cast<unsigned char>(in[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            out += j <= n ? alphabet[(group >> (18 - 6 * j)) & 63U] : '=';
        }
    }
    return out;
}

/// The platform's store, as PROTOCOL.md describes its reading calls.
class store
{
public:
    bool start(std::string const& ip, int port)
    {
        return listener_.start(ip, port, [this](int fd) { serve(fd); });
    }

    void put(std::string const& key, std::string const& value)
    {
        std::lock_guard const lock(mutex_);
        items_[key] = {value, ++revision_};
        history_.push_back({key, value, revision_, false});
        changed_.notify_all();
    }
    void remove(std::string const& key)
    {
        std::lock_guard const lock(mutex_);
        if (items_.erase(key) > 0)
        {
            history_.push_back({key, "", ++revision_, true});
            changed_.notify_all();
        }
    }
    void stop()
    {
        {
            std::lock_guard const lock(mutex_);
            stopped_ = true;
            changed_.notify_all();
        }
        listener_.stop();
    }

    /// If above 0, a watch that waits is cut (its connection is closed) after
    /// at most so many milliseconds.
    std::atomic<int> cut_after_ms{0};

private:
    struct item
    {
        std::string value;
        std::uint64_t revision;
    };
    struct event
    {
        std::string key;
        std::string value;
        std::uint64_t revision;
        bool deleted;
    };

    static std::string parameter(std::string const& target, char const* name)
    {
        std::string const key = std::string(name) + "=";
        auto at = target.find('?');
        while (at != std::string::npos)
        {
            if (target.compare(at + 1, key.size(), key) == 0)
            {
                auto const from = at + 1 + key.size();
                return target.substr(from, target.find('&', from) - from);
            }
            at = target.find('&', at + 1);
        }
        return {};
    }

    std::string range(std::string const& after)
    {
        std::string list;
        std::size_t count = 0;
        auto it = items_.upper_bound(after);
        for (; it != items_.end() && count < 500; ++it, ++count)
        {
            list += (list.empty() ? "" : ",");
            list += "{\"Key\":\"" + it->first + "\",\"Value\":\"" +
                    base64(it->second.value) +
                    "\",\"Revision\":" + std::to_string(it->second.revision) +
                    ",\"Lease\":0}";
        }
        return "{\"items\":[" + list +
               "],\"HasMore\":" + (it == items_.end() ? "false" : "true") +
               ",\"CurrentRev\":" + std::to_string(revision_) + "}";
    }

    /// Empty: the watch was cut.
    std::string watch(std::unique_lock<std::mutex>& lock, std::uint64_t after,
                      long wait_ms)
    {
        int const most = cut_after_ms;
        long const cut =
            most > 0 ? static_cast<long>(most * (0.5 + 0.5 * random_unit()))
                     : wait_ms + 1;
        if (cut < wait_ms)
        {
            if (!changed_.wait_for(lock, std::chrono::milliseconds(cut),
                                   [&]
                                   { return stopped_ || revision_ > after; }))
            {
                return {};
            }
        }
        changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                          [&] { return stopped_ || revision_ > after; });
        std::string list;
        for (auto const& e : history_)
        {
            if (e.revision > after)
            {
                list += (list.empty() ? "" : ",");
                list += "{\"Key\":\"" + e.key +
                        "\",\"Revision\":" + std::to_string(e.revision) +
                        (e.deleted ? ",\"Deleted\":true}"
                                   : ",\"Value\":\"" + base64(e.value) + "\"}");
            }
        }
        return "{\"events\":[" + list +
               "],\"CurrentRev\":" + std::to_string(revision_) + "}";
    }

    void serve(int fd)
    {
        reader in(fd);
        message m;
        while (in.next(m, in_s(3600)) == read_result::complete)
        {
            std::string const target = m.target();
            std::string body;
            sleep_s(0.004);
            {
                std::unique_lock lock(mutex_);
                if (target.rfind("/kv-range", 0) == 0)
                {
                    body = range(parameter(target, "after"));
                }
                else
                {
                    body =
                        watch(lock,
                              std::strtoull(parameter(target, "after").c_str(),
                                            nullptr, 10),
                              std::atol(parameter(target, "WaitMs").c_str()));
                }
                if (stopped_ || body.empty())
                {
                    return;
                }
            }
            if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: "
                              "application/json\r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" +
                                  body))
            {
                return;
            }
        }
    }

    listener listener_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopped_ = false;
    std::uint64_t revision_ = 100;
    std::map<std::string, item> items_;
    std::vector<event> history_;
};

// ---------------------------------------------------------------- servers

/// What the servers ran and what the clients were told, by request id.
class ledger
{
public:
    void sent(std::string const& id)
    {
        std::lock_guard const lock(mutex_);
        entries_[id].sent_at = now_s();
    }
    double sent_at(std::string const& id)
    {
        std::lock_guard const lock(mutex_);
        return entries_[id].sent_at;
    }
    void ran(std::string const& id, std::string const& server)
    {
        std::lock_guard const lock(mutex_);
        entries_[id].runs.push_back(server);
    }
    void answered(std::string const& id, int status)
    {
        std::lock_guard const lock(mutex_);
        entries_[id].status = status;
    }
    struct entry
    {
        double sent_at = 0;
        int status = 0; ///< 0: no answer
        std::vector<std::string> runs;
    };
    std::map<std::string, entry> entries()
    {
        std::lock_guard const lock(mutex_);
        return entries_;
    }

private:
    std::mutex mutex_;
    std::map<std::string, entry> entries_;
};

struct server_options
{
    std::string id;
    std::string service;
    std::string ip;
    int port = 0;
    std::string zone;
    int slots = 4;
    int queue = 4;
    double work_ms = 20;
};

/// A server as PROTOCOL.md describes it: slots, a short queue, a refusal when
/// full, the id and a signature in its answers.
class server
{
public:
    server(server_options o, ledger& l)
        : options_(std::move(o))
        , ledger_(l)
    {
    }

    bool start()
    {
        return listener_.start(options_.ip, options_.port,
                               [this](int fd) { serve(fd); });
    }
    void stop() { listener_.stop(); }
    server_options const& options() const { return options_; }

    std::string entry(bool draining = false, int warmup_left_ms = 0) const
    {
        return "{\"Service\":\"" + options_.service + "\",\"Address\":\"" +
               options_.ip + ":" + std::to_string(options_.port) +
               "\",\"Zone\":\"" + options_.zone +
               "\",\"Version\":\"v1\",\"Slots\":" +
               std::to_string(options_.slots) + ",\"State\":\"" +
               (draining ? "draining" : "ready") +
               "\",\"WarmupLeftMs\":" + std::to_string(warmup_left_ms) +
               ",\"Sequence\":1,\"born\":" + std::to_string(born) + "}";
    }

    /// Unix millisecond of the server's start.
    std::int64_t born = 1796000000000;
    /// Called with the id of each request that the server accepts as its own.
    std::function<void(std::string const&)> on_arrival;

    /// Share of the answers that are followed by a second copy, which arrives
    /// where the next answer on the connection is due.
    std::atomic<double> late_copy{0};

private:
    std::string answer(std::string const& id, int status,
                       std::string const& headers, std::string const& body,
                       int running, int waiting) const
    {
        return "HTTP/1.1 " + std::to_string(status) +
               (status == 200   ? " OK"
                : status == 421 ? " Misdirected Request"
                                : " Service Unavailable") +
               "\r\nX-Kumquatramp-Request-Id: " + id + "\r\n" + headers +
               "X-Kumquatramp-Server-Load: " + std::to_string(running) + "," +
               std::to_string(waiting) + "," + std::to_string(options_.slots) +
               "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    void serve(int fd)
    {
        reader in(fd);
        message m;
        std::string late;
        while (in.next(m, in_s(3600)) == read_result::complete)
        {
            if (!late.empty())
            {
                NOTE("server %s sends its earlier answer again",
                     options_.id.c_str());
                if (!send_all(fd, late))
                {
                    return;
                }
                late.clear();
            }
            std::string const bytes = handle(m);
            if (!send_all(fd, bytes))
            {
                return;
            }
            if (random_unit() < late_copy)
            {
                late = bytes;
            }
        }
    }

    std::string handle(message const& m)
    {
        std::string const id = m.header("X-Kumquatramp-Request-Id");
        if (m.header("X-Kumquatramp-Expect-Instance") != options_.id)
        {
            return answer(id, 421, "", "", 0, 0);
        }
        if (on_arrival)
        {
            on_arrival(id);
        }
        std::unique_lock lock(mutex_);
        if (running_ >= options_.slots && waiting_ >= options_.queue)
        {
            NOTE("server %s refuses %s", options_.id.c_str(), id.c_str());
            return answer(id, 503, "X-Kumquatramp-Not-Executed: 1\r\n", "",
                          running_, waiting_);
        }
        ++waiting_;
        freed_.wait(lock, [this] { return running_ < options_.slots; });
        --waiting_;
        ++running_;
        lock.unlock();
        NOTE("server %s runs %s", options_.id.c_str(), id.c_str());
        ledger_.ran(id, options_.id);
        sleep_s(options_.work_ms * (0.7 + 0.6 * random_unit()) / 1000);
        lock.lock();
        --running_;
        freed_.notify_one();
        return answer(id, 200,
                      "X-Kumquatramp-Server-Stamp: " + options_.id + "." + id +
                          "\r\n",
                      "done " + id, running_, waiting_);
    }

    server_options options_;
    ledger& ledger_;
    listener listener_;
    std::mutex mutex_;
    std::condition_variable freed_;
    int running_ = 0;
    int waiting_ = 0;
};

// ---------------------------------------------------------------- processes

inline std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

inline void replace_all(std::string& text, std::string const& from,
                        std::string const& to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos;
         at += to.size())
    {
        text.replace(at, from.size(), to);
    }
}

struct host_options
{
    std::string name;
    std::string ip;
    std::string zone;
    int clients = 0;
    int readiness = 0;
    int control = 0;
    int directory = 0;
    int gossip = 0;
    std::string seeds;
    std::string store;
    std::string cpu_share = "0.17";
};

/// One process of the product, started as the deploy file says, with settings
/// from the project's template. The bounds are those of Accra.
class host
{
public:
    host(host_options o, std::string folder)
        : options_(std::move(o))
        , folder_(std::move(folder))
    {
    }
    ~host() { kill_and_wait(); }

    bool start(char const* program = "target/platform/kumquatramp_front")
    {
        std::string text = read_file("deploy/settings.ini");
        auto const at = [&](int port)
        { return options_.ip + ":" + std::to_string(port); };
        std::map<std::string, std::string> const values{
            {"NodeName", options_.name},
            {"Ip", options_.ip},
            {"Zone", options_.zone},
            {"Limits.CpuShare", options_.cpu_share},
            {"Listen.Front", at(options_.clients)},
            {"Listen.Readiness", at(options_.readiness)},
            {"Listen.Control", at(options_.control)},
            {"Listen.directory", at(options_.directory)},
            {"InternalPorts.0", std::to_string(options_.gossip)},
            {"Seeds", options_.seeds},
            {"platform.Address", options_.store},
            {"Bounds.RetryBudgetRatio", "0.2"},
            {"Bounds.RetryBudgetSlack", "116"},
            {"Bounds.BudgetWindowS", "10"},
            {"Bounds.DrainMs", "3000"},
            {"Bounds.GraceS", "6"},
            {"Bounds.StabilityMs", "4000"},
            {"Bounds.ttl_max_s", "5"}};
        for (auto const& [key, value] : values)
        {
            replace_all(text, "{{" + key + "}}", value);
        }
        std::string const settings = folder_ + "/" + options_.name + ".ini";
        std::ofstream(settings) << text;
        std::string const log = folder_ + "/" + options_.name + ".log";
        pid_ = fork();
        if (pid_ == 0)
        {
            // The process ends with the script, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int const out =
                open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            setenv("KUMQUATRAMP_CONFIG", settings.c_str(), 1);
            execl(program, program, static_cast<char*>(nullptr));
            _exit(127);
        }
        NOTE("host %s started", options_.name.c_str());
        return pid_ > 0;
    }

    void signal(int number)
    {
        if (pid_ > 0)
        {
            kill(pid_, number);
        }
    }
    void kill_and_wait()
    {
        if (pid_ > 0)
        {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }
    /// Whether the process has ended by itself.
    bool ended()
    {
        int status = 0;
        if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_)
        {
            NOTE("host %s ended, status %d", options_.name.c_str(), status);
            pid_ = -1;
        }
        return pid_ <= 0;
    }
    /// Resident memory in MB.
    double memory_mb() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        long total = 0;
        long resident = 0;
        file >> total >> resident;
        return static_cast<double>(resident) *
               static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    }
    host_options const& options() const { return options_; }

    bool ready() const
    {
        int const fd = connect_to(options_.ip, options_.readiness, 0.5);
        if (fd < 0)
        {
            return false;
        }
        send_all(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        reader in(fd);
        message m;
        bool const good =
            in.next(m, in_s(0.5)) == read_result::complete && m.status() == 200;
        close(fd);
        return good;
    }

private:
    host_options options_;
    std::string folder_;
    pid_t pid_ = -1;
};

/// A small deployment: a store and hosts in three zones.
class deployment
{
public:
    deployment()
    {
        char pattern[] = "/tmp/review-XXXXXX";
        folder_ = mkdtemp(pattern);
    }
    ~deployment()
    {
        hosts.clear();
        platform.stop();
        std::string const command = "rm -rf '" + folder_ + "'";
        if (std::system(command.c_str()) != 0)
        {
            std::perror("rm");
        }
    }

    bool start(int count)
    {
        std::vector<std::string> ips;
        for (int i = 0; i < count; ++i)
        {
            ips.push_back("127.0.1." + std::to_string(i + 1));
        }
        int const clients = free_port(ips);
        int const readiness = free_port(ips);
        int const control = free_port(ips);
        int const directory = free_port(ips);
        int const gossip = free_port(ips);
        int const store_port = free_port({"127.0.0.1"});
        if (!platform.start("127.0.0.1", store_port))
        {
            return false;
        }
        std::string seeds;
        for (int i = 0; i < std::min(count, 3); ++i)
        {
            seeds += (i == 0 ? "" : ",") + ips[static_cast<std::size_t>(i)] +
                     ":" + std::to_string(control);
        }
        static char const* const zones[] = {"osu", "tema", "madina"};
        for (int i = 0; i < count; ++i)
        {
            host_options o;
            o.zone = zones[i % 3];
            o.name = "front-" + o.zone + "-" + std::to_string(i / 3 + 1);
            o.ip = ips[static_cast<std::size_t>(i)];
            o.clients = clients;
            o.readiness = readiness;
            o.control = control;
            o.directory = directory;
            o.gossip = gossip;
            o.seeds = seeds;
            o.store = "127.0.0.1:" + std::to_string(store_port);
            hosts.push_back(std::make_unique<host>(o, folder_));
        }
        for (auto const& h : hosts)
        {
            if (!h->start())
            {
                return false;
            }
        }
        return true;
    }

    bool await_ready(double limit_s)
    {
        double const until = now_s() + limit_s;
        while (now_s() < until)
        {
            bool all = true;
            for (auto const& h : hosts)
            {
                all = all && h->ready();
            }
            if (all)
            {
                return true;
            }
            sleep_s(0.1);
        }
        return false;
    }

    std::string const& folder() const { return folder_; }

    store platform;
    std::vector<std::unique_ptr<host>> hosts;

private:
    std::string folder_;
};

// ---------------------------------------------------------------- clients

inline std::string new_id()
{
    static std::atomic<std::uint64_t> count{0};
    static std::uint64_t const base = std::random_device{}();
    char text[24];
    std::snprintf(text, sizeof text, "%08llx%08llx",
                  static_cast<unsigned long long>(base & 0xffffffffU),
                  static_cast<unsigned long long>(++count));
    return text;
}

struct client_request
{
    std::string method = "POST";
    std::string host = "hufi27.example";
    std::string target = "/goka902/2f";
    std::string body;
    long deadline_ms = 4000;
};

struct client_answer
{
    read_result result = read_result::closed;
    message content;
    bool connected = false;
};

/// Holds one kept connection to a host.
class client
{
public:
    ~client() { drop(); }

    bool connected() const { return fd_ >= 0; }
    bool connect(std::string const& ip, int port)
    {
        drop();
        fd_ = connect_to(ip, port, 1.0);
        if (fd_ >= 0)
        {
            in_ = std::make_unique<reader>(fd_);
        }
        return fd_ >= 0;
    }
    void drop()
    {
        if (fd_ >= 0)
        {
            close(fd_);
            fd_ = -1;
        }
    }

    client_answer call(client_request const& r, std::string const& id)
    {
        client_answer a;
        std::string const bytes =
            r.method + " " + r.target + " HTTP/1.1\r\nHost: " + r.host +
            "\r\nX-Kumquatramp-Request-Id: " + id +
            "\r\nX-Kumquatramp-Deadline-Ms: " + std::to_string(r.deadline_ms) +
            "\r\n" +
            (r.body.empty() ? std::string()
                            : "Content-Length: " +
                                  std::to_string(r.body.size()) + "\r\n") +
            "\r\n" + r.body;
        a.connected = true;
        if (!send_all(fd_, bytes))
        {
            a.result = read_result::broken;
            drop();
            return a;
        }
        a.result = in_->next(a.content,
                             in_s(static_cast<double>(r.deadline_ms) / 1000));
        if (a.result != read_result::complete ||
            strcasecmp(a.content.header("Connection").c_str(), "close") == 0)
        {
            drop();
        }
        return a;
    }

private:
    int fd_ = -1;
    std::unique_ptr<reader> in_;
};

/// The addresses that a host's directory names; empty if it gives none.
inline std::vector<std::pair<std::string, int>>
resolve(host_options const& node, std::string const& zone)
{
    std::vector<std::pair<std::string, int>> found;
    int const fd = connect_to(node.ip, node.directory, 1.0);
    if (fd < 0)
    {
        return found;
    }
    send_all(fd, "GET /resolve?Name=hufi27.example&Region=accra&Zone=" + zone +
                     " HTTP/1.1\r\nHost: x\r\n\r\n");
    reader in(fd);
    message m;
    if (in.next(m, in_s(1.0)) == read_result::complete && m.status() == 200)
    {
        std::string const& body = m.body;
        auto const end = body.find(']');
        for (auto at = body.find('['); at != std::string::npos && at < end;)
        {
            auto const from = body.find('"', at);
            if (from == std::string::npos || from > end)
            {
                break;
            }
            auto const to = body.find('"', from + 1);
            std::string const text = body.substr(from + 1, to - from - 1);
            auto const colon = text.rfind(':');
            found.emplace_back(text.substr(0, colon),
                               std::atoi(text.c_str() + colon + 1));
            at = to + 1;
        }
    }
    close(fd);
    return found;
}

/// Whether the script runs with its disruption (TROUBLE=0: without).
inline bool with_trouble()
{
    char const* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace rig

#endif
