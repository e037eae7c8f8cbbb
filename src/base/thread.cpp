#include "base/thread.h"

#include "base/check.h"

#include <string>
#include <utility>

namespace damask {

namespace {

constexpr size_t MaxThreadName = 15;     // bytes, without the terminating null
constexpr size_t StackSize = 512 * 1024; // bytes

void *runBody(void *argument)
{
    const std::unique_ptr<std::function<void()>> body(static_cast<std::function<void()> *>(argument));
    (*body)();
    return nullptr;
}

} // namespace

Thread::Thread(std::string_view name, std::function<void()> body)
{
    auto argument = std::make_unique<std::function<void()>>(std::move(body));
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, StackSize);
    const int ec = pthread_create(&m_thread, &attributes, runBody, argument.get());
    pthread_attr_destroy(&attributes);
    DAMASK_ASSERT(ec == 0, "reduce the number of workers in the settings: the thread could not be created");
    argument.release(); // NOLINT(bugprone-unused-return-value): the thread owns it now
    pthread_setname_np(m_thread, std::string(name.substr(0, MaxThreadName)).c_str());
    m_started = true;
}

Thread::~Thread()
{
    join();
}

Thread::Thread(Thread &&other) noexcept
    : m_thread(other.m_thread)
    , m_started(std::exchange(other.m_started, false))
{
}

Thread &Thread::operator=(Thread &&other) noexcept
{
    if (this != &other) {
        join();
        m_thread = other.m_thread;
        m_started = std::exchange(other.m_started, false);
    }
    return *this;
}

void Thread::join()
{
    if (std::exchange(m_started, false)) {
        pthread_join(m_thread, nullptr);
    }
}

} // namespace damask
