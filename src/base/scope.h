/// Scope guards and RAII wrappers for system resources.
#pragma once

#include <functional>
#include <utility>

namespace damask {

/// Calls a function at the end of the scope, unless dismissed.
class ScopeGuard
{
public:
    explicit ScopeGuard(std::function<void()> atEnd)
        : m_atEnd(std::move(atEnd))
    {
    }
    ~ScopeGuard()
    {
        if (m_atEnd) {
            m_atEnd();
        }
    }
    ScopeGuard(const ScopeGuard &) = delete;
    ScopeGuard &operator=(const ScopeGuard &) = delete;

    void dismiss()
    {
        m_atEnd = nullptr;
    }

private:
    std::function<void()> m_atEnd;
};

/// Owns a file descriptor (socket, epoll, eventfd) and closes it.
class FileDescriptor
{
public:
    explicit FileDescriptor(int fd = -1)
        : m_fd(fd)
    {
    }
    ~FileDescriptor()
    {
        reset();
    }
    FileDescriptor(FileDescriptor &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    FileDescriptor &operator=(FileDescriptor &&other) noexcept
    {
        if (this != &other) {
            reset(std::exchange(other.m_fd, -1));
        }
        return *this;
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;

    int get() const
    {
        return m_fd;
    }
    bool valid() const
    {
        return m_fd >= 0;
    }
    int release()
    {
        return std::exchange(m_fd, -1);
    }
    void reset(int fd = -1); // closes the owned descriptor, then owns fd

private:
    int m_fd;
};

} // namespace damask
