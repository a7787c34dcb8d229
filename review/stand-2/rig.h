// Stand-ins for the cases 6 to 10: HTTP/1.1 messages, the platform's store,
// servers, and the project's hosts as processes. All addresses are loopback
// addresses; one thread a connection.
#ifndef KUMQUATRAMP_REVIEW_STAND_2_RIG_H
#define KUMQUATRAMP_REVIEW_STAND_2_RIG_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
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
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rig
{

/// Seconds since the program started.
inline double now()
{
    static auto const start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start)
        .count();
}

inline void sleep_for(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleep_until(double at)
{
    if (at > now())
    {
        sleep_for(at - now());
    }
}

/// The record of the run: what was sent, answered and run.
class record_file
{
public:
    explicit record_file(std::string const& path)
        : file_(std::fopen(path.c_str(), "w"))
    {
    }
    ~record_file()
    {
        if (file_ != nullptr)
        {
            std::fclose(file_);
        }
    }
    record_file(record_file const&) = delete;
    record_file& operator=(record_file const&) = delete;

    __attribute__((format(printf, 2, 3))) void line(char const* format, ...)
    {
        std::lock_guard const lock(mutex_);
        std::FILE* const to = file_ != nullptr ? file_ : stderr;
        std::fprintf(to, "%8.3f  ", now());
        va_list values;
        va_start(values, format);
        std::vfprintf(to, format, values);
        va_end(values);
        std::fputc('\n', to);
        std::fflush(to);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

/// Exit codes of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

inline bool trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

struct message
{
    std::string start; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(char const* name) const
    {
        for (auto const& [key, value] : headers)
        {
            if (strcasecmp(key.c_str(), name) == 0)
            {
                return value;
            }
        }
        return {};
    }
    bool has(char const* name) const
    {
        for (auto const& [key, value] : headers)
        {
            if (strcasecmp(key.c_str(), name) == 0)
            {
                return true;
            }
        }
        return false;
    }
    std::string word(int index) const
    {
        std::istringstream in(start);
        std::string text;
        for (int i = 0; i <= index; ++i)
        {
            if (!(in >> text))
            {
                return {};
            }
        }
        return text;
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

enum class got
{
    message,
    end,       ///< the peer closed in order
    reset,     ///< the connection broke
    late,      ///< nothing more within the time
    malformed, ///< bytes that are no HTTP/1.1 message
};

inline char const* to_string(got g)
{
    switch (g)
    {
    case got::message:
        return "a message";
    case got::end:
        return "closed";
    case got::reset:
        return "reset";
    case got::late:
        return "no answer in time";
    case got::malformed:
        return "bytes that are no answer";
    }
    return "";
}

/// One TCP connection with HTTP/1.1 messages on it.
class stream
{
public:
    explicit stream(int fd = -1)
        : fd_(fd)
    {
    }
    ~stream() { close(); }
    stream(stream const&) = delete;
    stream& operator=(stream const&) = delete;

    /// Connects within a second.
    bool connect(std::string const& ip, int port)
    {
        close();
        buffer_.clear();
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
        int const one = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        fcntl(fd_, F_SETFL, O_NONBLOCK);
        int result =
            ::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to);
        if (result != 0 && errno == EINPROGRESS)
        {
            pollfd p{fd_, POLLOUT, 0};
            int error = ETIMEDOUT;
            socklen_t size = sizeof error;
            if (poll(&p, 1, 1000) == 1)
            {
                getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
            }
            result = error;
        }
        fcntl(fd_, F_SETFL, 0);
        if (result != 0)
        {
            close();
        }
        return result == 0;
    }

    bool open() const { return fd_ >= 0; }
    int fd() const { return fd_; }

    bool write(std::string const& bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size())
        {
            ssize_t const n = ::send(fd_, bytes.data() + done,
                                     bytes.size() - done, MSG_NOSIGNAL);
            if (n <= 0)
            {
                return false;
            }
            done += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Reads one message. `no_body`: an answer to HEAD, which ends after its
    /// headers.
    got read(message& m, double timeout_s, bool no_body = false)
    {
        double const until = now() + timeout_s;
        m = {};
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!buffer_.empty() && !could_start(buffer_))
            {
                return got::malformed;
            }
            if (got const g = fill(until); g != got::message)
            {
                return g;
            }
        }
        if (!could_start(buffer_))
        {
            return got::malformed;
        }
        std::istringstream head(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::string text;
        while (std::getline(head, text))
        {
            if (!text.empty() && text.back() == '\r')
            {
                text.pop_back();
            }
            if (m.start.empty())
            {
                m.start = text;
                continue;
            }
            auto const colon = text.find(':');
            if (colon == std::string::npos)
            {
                return got::malformed;
            }
            auto value = text.find_first_not_of(' ', colon + 1);
            m.headers.emplace_back(
                text.substr(0, colon),
                value == std::string::npos ? "" : text.substr(value));
        }
        if (no_body)
        {
            return got::message;
        }
        if (strcasecmp(m.header("Transfer-Encoding").c_str(), "chunked") == 0)
        {
            return read_chunks(m, until);
        }
        bool const answer = m.start.starts_with("HTTP/");
        if (m.has("Content-Length"))
        {
            auto const size = static_cast<std::size_t>(
                std::atoll(m.header("Content-Length").c_str()));
            while (buffer_.size() < size)
            {
                if (got const g = fill(until); g != got::message)
                {
                    return g;
                }
            }
            m.body = buffer_.substr(0, size);
            buffer_.erase(0, size);
            return got::message;
        }
        if (answer && m.status() >= 200 && m.status() != 204 &&
            m.status() != 304)
        {
            for (;;)
            {
                got const g = fill(until);
                if (g == got::end)
                {
                    m.body = std::move(buffer_);
                    buffer_.clear();
                    return got::message;
                }
                if (g != got::message)
                {
                    return g;
                }
            }
        }
        return got::message;
    }

    /// Takes what arrives within the time although no request is waiting.
    std::string unasked(double seconds)
    {
        double const until = now() + seconds;
        while (fill(until) == got::message)
        {
        }
        return buffer_;
    }

    /// Whether neither side has ended the connection.
    bool peer_open() const
    {
        char byte = 0;
        ssize_t const n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    }

    void close()
    {
        if (fd_ >= 0)
        {
            ::close(fd_);
            fd_ = -1;
        }
    }

private:
    static bool could_start(std::string const& bytes)
    {
        // An answer begins with its version, a request with its method.
        std::string_view const version = "HTTP/1.1 ";
        auto const n = std::min(bytes.size(), version.size());
        return bytes.compare(0, n, version.substr(0, n)) == 0 ||
               (bytes[0] >= 'A' && bytes[0] <= 'Z');
    }

    got fill(double until)
    {
        double const left = until - now();
        pollfd p{fd_, POLLIN, 0};
        if (left <= 0 || poll(&p, 1, static_cast<int>(left * 1000) + 1) != 1)
        {
            return got::late;
        }
        char bytes[65536];
        ssize_t const n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n > 0)
        {
            buffer_.append(bytes, static_cast<std::size_t>(n));
            return got::message;
        }
        return n == 0 ? got::end : got::reset;
    }

    got read_chunks(message& m, double until)
    {
        for (;;)
        {
            std::size_t line = 0;
            while ((line = buffer_.find("\r\n")) == std::string::npos)
            {
                if (got const g = fill(until); g != got::message)
                {
                    return g;
                }
            }
            auto const size = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line + 2 + size + 2)
            {
                if (got const g = fill(until); g != got::message)
                {
                    return g;
                }
            }
            m.body.append(buffer_, line + 2, size);
            buffer_.erase(0, line + 2 + size + 2);
            if (size == 0)
            {
                return got::message;
            }
        }
    }

    int fd_;
    std::string buffer_;
};

/// Accepts connections and serves each in a thread of its own.
class listener
{
public:
    using handler = std::function<void(stream&)>;

    listener() = default;
    ~listener() { stop(); }
    listener(listener const&) = delete;
    listener& operator=(listener const&) = delete;

    /// Port 0: a free one. Returns false if the address is taken.
    bool start(std::string const& ip, int port, handler serve)
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const one = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
        socklen_t size = sizeof at;
        if (bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            listen(fd_, 1024) != 0 ||
            getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) != 0)
        {
            ::close(fd_);
            fd_ = -1;
            return false;
        }
        port_ = ntohs(at.sin_port);
        stopping_ = false;
        dark_ = false;
        serve_ = std::move(serve);
        thread_ = std::thread([this] { accept_all(); });
        return true;
    }

    int port() const { return port_; }
    bool running() const { return fd_ >= 0; }

    /// From now on nothing is accepted: one or two more connections are
    /// established by the kernel, the opening packets of others are dropped.
    void go_dark()
    {
        dark_ = true;
        ::listen(fd_, 0);
    }
    bool dark() const { return dark_; }

    /// Ends the listening socket and all connections at once, as the end of a
    /// process does.
    void stop()
    {
        if (fd_ < 0)
        {
            return;
        }
        stopping_ = true;
        ::shutdown(fd_, SHUT_RDWR);
        thread_.join();
        ::close(fd_);
        fd_ = -1;
        std::unique_lock lock(mutex_);
        for (int const fd : open_)
        {
            ::shutdown(fd, SHUT_RDWR);
        }
        all_ended_.wait(lock, [this] { return open_.empty(); });
    }

private:
    void accept_all()
    {
        while (!stopping_)
        {
            int const fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                continue;
            }
            while (dark_ && !stopping_)
            {
                sleep_for(0.01);
            }
            int const one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::lock_guard const lock(mutex_);
            open_.insert(fd);
            std::thread(
                [this, fd]
                {
                    stream s(fd);
                    serve_(s);
                    // The last use of the listener: stop() goes on after it.
                    std::lock_guard const ending(mutex_);
                    s.close();
                    open_.erase(fd);
                    all_ended_.notify_all();
                })
                .detach();
        }
    }

    int fd_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> dark_{false};
    handler serve_;
    std::thread thread_;
    std::mutex mutex_;
    std::condition_variable all_ended_;
    std::set<int> open_;
};

inline std::string base64(std::string const& bytes)
{
    constexpr char alphabet[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        std::size_t const size = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = group << 8U |
                    (j < size ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            text += j <= size ? alphabet[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

inline std::string parameter(std::string const& target, std::string const& name)
{
    for (auto at = target.find('?'); at != std::string::npos;
         at = target.find('&', at + 1))
    {
        if (target.compare(at + 1, name.size() + 1, name + "=") == 0)
        {
            auto const from = at + name.size() + 2;
            return target.substr(from, target.find('&', from) - from);
        }
    }
    return {};
}

/// The platform's metadata store: listings in pages of 50 items, watches, and
/// 20 s of history. It has one address for each host, each of which can be cut
/// off.
class store
{
public:
    ~store() { stop(); }

    /// Opens one more address. Returns its port, 0 if there is none.
    int open(std::string const& ip = "127.0.0.1")
    {
        doors_.push_back(std::make_unique<door>());
        door& d = *doors_.back();
        return d.at.start(ip, 0, [this, &d](stream& s) { serve(s, d); })
                   ? d.at.port()
                   : 0;
    }

    /// A silent cut: nothing that comes through the address is answered, and
    /// the connections of that time end when the cut does.
    void cut(std::size_t address, bool on)
    {
        std::lock_guard const lock(mutex_);
        doors_[address]->cut = on;
        changed_.notify_all();
    }

    void stop()
    {
        {
            std::lock_guard const lock(mutex_);
            stopping_ = true;
            changed_.notify_all();
        }
        for (auto const& d : doors_)
        {
            d->at.stop();
        }
    }

    /// A return is the acknowledgement of the write.
    void put(std::string const& key, std::string const& value)
    {
        std::lock_guard const lock(mutex_);
        ++revision_;
        items_[key] = {value, revision_};
        add({key, value, false, revision_, now()});
    }

    void remove(std::string const& key)
    {
        std::lock_guard const lock(mutex_);
        if (items_.erase(key) > 0)
        {
            ++revision_;
            add({key, "", true, revision_, now()});
        }
    }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision;
    };
    struct change
    {
        std::string key;
        std::string value;
        bool deleted;
        std::uint64_t revision;
        double at;
    };
    struct door
    {
        listener at;
        bool cut = false;
    };
    static constexpr std::size_t page_items = 50;
    static constexpr double history_s = 20;

    void add(change c)
    {
        history_.push_back(std::move(c));
        forget();
        changed_.notify_all();
    }

    void forget()
    {
        while (!history_.empty() && now() - history_.front().at > history_s)
        {
            forgotten_ = history_.front().revision;
            history_.pop_front();
        }
    }

    static std::string show(std::string const& key, std::string const& value,
                            std::uint64_t revision)
    {
        return "{\"Key\":\"" + key + "\",\"Value\":\"" + base64(value) +
               "\",\"Revision\":" + std::to_string(revision) +
               ",\"Created\":" + std::to_string(revision) + ",\"Lease\":0}";
    }

    std::string list(std::string const& target)
    {
        std::lock_guard const lock(mutex_);
        std::string const prefix = parameter(target, "Prefix");
        std::string const after = parameter(target, "after");
        std::string items;
        std::size_t count = 0;
        bool more = false;
        for (auto i = items_.upper_bound(after); i != items_.end(); ++i)
        {
            if (!i->first.starts_with(prefix))
            {
                continue;
            }
            if (count == page_items)
            {
                more = true;
                break;
            }
            items += (count++ > 0 ? "," : "") +
                     show(i->first, i->second.value, i->second.revision);
        }
        return "{\"items\":[" + items +
               "],\"HasMore\":" + (more ? "true" : "false") +
               ",\"CurrentRev\":" + std::to_string(revision_) + "}";
    }

    /// An empty answer: the history is no longer there.
    std::string watch(std::string const& target)
    {
        std::unique_lock lock(mutex_);
        auto const after =
            std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        auto const wait = std::chrono::milliseconds(
            std::atoi(parameter(target, "WaitMs").c_str()));
        changed_.wait_for(lock, wait,
                          [&] { return stopping_ || revision_ > after; });
        forget();
        if (after < forgotten_)
        {
            return {};
        }
        std::string events;
        for (auto const& c : history_)
        {
            if (c.revision > after)
            {
                events += events.empty() ? "" : ",";
                events += c.deleted
                              ? "{\"Key\":\"" + c.key + "\",\"Revision\":" +
                                    std::to_string(c.revision) +
                                    ",\"Deleted\":true}"
                              : show(c.key, c.value, c.revision);
            }
        }
        return "{\"events\":[" + events +
               "],\"CurrentRev\":" + std::to_string(revision_) + "}";
    }

    /// Whether a cut was there; waits for its end.
    bool held(door const& d)
    {
        std::unique_lock lock(mutex_);
        if (!d.cut)
        {
            return false;
        }
        changed_.wait(lock, [&] { return stopping_ || !d.cut; });
        return true;
    }

    void serve(stream& s, door const& d)
    {
        message m;
        while (!held(d) && s.read(m, 60) == got::message && !held(d))
        {
            std::string const target = m.word(1);
            std::string const body =
                target.starts_with("/kv-watch") ? watch(target) : list(target);
            std::string const head =
                body.empty() ? "HTTP/1.1 410 Gone\r\n" : "HTTP/1.1 200 OK\r\n";
            if (held(d) ||
                !s.write(head +
                         "Content-Type: application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body))
            {
                return;
            }
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::uint64_t revision_ = 1;
    std::uint64_t forgotten_ = 0; ///< revision of the last change dropped
    std::map<std::string, item> items_;
    std::deque<change> history_;
    std::vector<std::unique_ptr<door>> doors_;
};

/// What a server says to a request that it runs.
struct reply
{
    int status = 200;
    std::string body;
};

/// A sound server of the users: checks the instance, runs and signs.
class server
{
public:
    using runner = std::function<reply(message const&)>;

    server(std::string id, std::string service, std::string zone,
           std::string ip, runner run)
        : id_(std::move(id))
        , service_(std::move(service))
        , zone_(std::move(zone))
        , ip_(std::move(ip))
        , run_(std::move(run))
    {
    }

    bool start()
    {
        born_ = static_cast<long long>(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count());
        bool const started =
            listener_.start(ip_, port_, [this](stream& s) { serve(s); });
        port_ = listener_.port();
        return started;
    }
    void stop() { listener_.stop(); }
    /// Falls silent: nothing is read, answered or accepted until stop().
    void go_dark() { listener_.go_dark(); }

    std::string key() const { return "servers/" + id_; }
    std::string const& id() const { return id_; }
    std::string entry(char const* state = "ready")
    {
        return "{\"Id\":\"" + id_ + "\",\"Service\":\"" + service_ +
               "\",\"Address\":\"" + ip_ + ":" + std::to_string(port_) +
               "\",\"Zone\":\"" + zone_ +
               "\",\"Version\":\"v1\",\"Slots\":4,\"State\":\"" + state +
               "\",\"WarmupLeftMs\":0,\"Sequence\":" +
               std::to_string(++sequence_) +
               ",\"born\":" + std::to_string(born_) + "}";
    }

private:
    void serve(stream& s)
    {
        message m;
        while (s.read(m, 60) == got::message)
        {
            while (listener_.dark() && s.peer_open())
            {
                sleep_for(0.02);
            }
            if (listener_.dark())
            {
                return;
            }
            std::string const request = m.header("X-Kumquatramp-Request-Id");
            std::string head;
            reply r;
            if (m.header("X-Kumquatramp-Expect-Instance") != id_)
            {
                r = {421, ""};
            }
            else
            {
                r = run_(m);
                head = "X-Kumquatramp-Server-Stamp: " + id_ + "." + request +
                       "." + std::to_string(r.status) + "\r\n";
            }
            bool const head_only = m.word(0) == "HEAD";
            if (!s.write("HTTP/1.1 " + std::to_string(r.status) + " X\r\n" +
                         "X-Kumquatramp-Request-Id: " + request + "\r\n" +
                         head + "X-Kumquatramp-Server-Load: 1,0,4\r\n" +
                         "Content-Length: " + std::to_string(r.body.size()) +
                         "\r\n\r\n" + (head_only ? "" : r.body)))
            {
                return;
            }
        }
    }

    std::string id_;
    std::string service_;
    std::string zone_;
    std::string ip_;
    runner run_;
    int port_ = 0;
    long long born_ = 0;
    std::atomic<int> sequence_{0};
    listener listener_;
};

/// A free port of an address.
inline int free_port(std::string const& ip)
{
    listener probe;
    if (!probe.start(ip, 0, [](stream&) {}))
    {
        return 0;
    }
    return probe.port();
}

/// One host of the project as a process, with settings from the template of the
/// deploy file.
class host
{
public:
    struct ports
    {
        int front;
        int ready;
        int control;
        int directory;
        int gossip;
    };

    host(std::string name, std::string ip, std::string zone, ports at)
        : name_(std::move(name))
        , ip_(std::move(ip))
        , zone_(std::move(zone))
        , ports_(at)
    {
    }
    ~host() { end(); }
    host(host const&) = delete;
    host& operator=(host const&) = delete;

    std::string const& ip() const { return ip_; }
    int front_port() const { return ports_.front; }
    pid_t pid() const { return pid_; }

    bool start(std::string const& folder, std::string const& seeds,
               std::string const& store_address)
    {
        std::ifstream file("deploy/settings.ini");
        std::stringstream text;
        text << file.rdbuf();
        std::string settings = text.str();
        auto const at = [&](int port)
        { return ip_ + ":" + std::to_string(port); };
        std::map<std::string, std::string> const values{
            {"NodeName", name_},
            {"Ip", ip_},
            {"Zone", zone_},
            {"Limits.CpuShare", "0.17"},
            {"Listen.Front", at(ports_.front)},
            {"Listen.Readiness", at(ports_.ready)},
            {"Listen.Control", at(ports_.control)},
            {"Listen.directory", at(ports_.directory)},
            {"InternalPorts.0", std::to_string(ports_.gossip)},
            {"Seeds", seeds},
            {"platform.Address", store_address},
            {"Bounds.RetryBudgetRatio", "0.2"},
            {"Bounds.RetryBudgetSlack", "126"},
            {"Bounds.BudgetWindowS", "10"},
            {"Bounds.DrainMs", "3000"},
            {"Bounds.GraceS", "6"},
            {"Bounds.StabilityMs", "4000"},
            {"Bounds.ttl_max_s", "5"},
        };
        for (auto const& [key, value] : values)
        {
            std::string const place = "{{" + key + "}}";
            for (auto found = settings.find(place); found != std::string::npos;
                 found = settings.find(place))
            {
                settings.replace(found, place.size(), value);
            }
        }
        if (settings.empty() || settings.find("{{") != std::string::npos)
        {
            return false;
        }
        std::string const path = folder + "/" + name_ + ".ini";
        std::ofstream(path) << settings;
        std::string const variable = "KUMQUATRAMP_CONFIG=" + path;
        std::string const log = folder + "/" + name_ + ".log";
        pid_ = fork();
        if (pid_ == 0)
        {
            // A host never outlives the script.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int const out =
                ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            char program[] = "target/platform/kumquatramp_front";
            char* const arguments[] = {program, nullptr};
            std::string path_variable =
                "PATH=" + std::string(std::getenv("PATH"));
            char* const environment[] = {const_cast<char*>(variable.c_str()),
                                         path_variable.data(), nullptr};
            execve(program, arguments, environment);
            _exit(127);
        }
        return pid_ > 0;
    }

    void signal(int number)
    {
        if (pid_ > 0)
        {
            ::kill(pid_, number);
        }
    }

    bool ready() const
    {
        stream s;
        message m;
        return s.connect(ip_, ports_.ready) &&
               s.write("GET /readyz HTTP/1.1\r\nHost: " + ip_ + "\r\n\r\n") &&
               s.read(m, 1) == got::message && m.status() == 200;
    }

    bool wait_ready(double seconds) const
    {
        for (double const until = now() + seconds; now() < until;)
        {
            if (ready())
            {
                return true;
            }
            sleep_for(0.05);
        }
        return false;
    }

    /// Returns the wait status if the process has ended by itself.
    bool ended(int& status)
    {
        if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = -1;
            return true;
        }
        return pid_ <= 0;
    }

    /// Kills the process if it still runs.
    void end()
    {
        if (pid_ > 0)
        {
            ::kill(pid_, SIGCONT);
            ::kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

private:
    std::string name_;
    std::string ip_;
    std::string zone_;
    ports ports_;
    pid_t pid_ = -1;
};

/// Some hosts on consecutive addresses, one zone after the other.
class fleet
{
public:
    /// Gives each host its own address of the store. Returns whether all of
    /// them are ready within 10 s.
    bool start(int count, char const* const* zones, std::string const& folder,
               store& platform)
    {
        folder_ = folder;
        host::ports const ports{free_port(ip(0)), free_port(ip(0)),
                                free_port(ip(0)), free_port(ip(0)),
                                free_port(ip(0))};
        for (int i = 0; i < std::min(count, 3); ++i)
        {
            seeds_ += (i > 0 ? "," : "") + ip(i) + ":" +
                      std::to_string(ports.control);
        }
        for (int i = 0; i < count; ++i)
        {
            stores_.push_back("127.0.0.1:" + std::to_string(platform.open()));
            hosts_.push_back(std::make_unique<host>(
                "front-" + std::to_string(i), ip(i), zones[i % 3], ports));
            if (!start(i))
            {
                return false;
            }
        }
        for (auto const& h : hosts_)
        {
            if (!h->wait_ready(10))
            {
                return false;
            }
        }
        return true;
    }

    /// Starts the process of a host, also after its end.
    bool start(int i)
    {
        return at(i).start(folder_, seeds_,
                           stores_[static_cast<std::size_t>(i)]);
    }

    host& at(int i) { return *hosts_[static_cast<std::size_t>(i)]; }

private:
    static std::string ip(int i) { return "127.0.0." + std::to_string(21 + i); }

    std::string folder_;
    std::string seeds_;
    std::vector<std::string> stores_;
    std::vector<std::unique_ptr<host>> hosts_;
};

} // namespace rig

#endif
