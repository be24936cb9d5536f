// A multi-producer, single-consumer queue with a file descriptor for event loops.
//
// Tasks own their sockets and state and communicate only through channels. The descriptor is readable while the queue is
// not empty, so both libevent and KJ loops can wait on it.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace appletally::base {

template <typename Message>
class Channel {
public:
    Channel()
        : m_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }
    ~Channel() { close(m_fd); }
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    // Callable from any thread. Never blocks: the queue is unbounded, so senders must limit what they send.
    void send(Message message)
    {
        std::lock_guard lock(m_mutex);
        m_queue.push_back(std::move(message));
        const uint64_t one = 1;
        [[maybe_unused]] const ssize_t n = write(m_fd, &one, sizeof one);
    }

    // Only for the receiving task. Returns all queued messages, oldest first.
    std::deque<Message> take()
    {
        std::lock_guard lock(m_mutex);
        uint64_t count = 0;
        [[maybe_unused]] const ssize_t n = read(m_fd, &count, sizeof count);
        return std::exchange(m_queue, {});
    }

    int fd() const { return m_fd; }

private:
    int m_fd;
    std::mutex m_mutex;
    std::deque<Message> m_queue; // guarded by m_mutex
};

} // namespace appletally::base
