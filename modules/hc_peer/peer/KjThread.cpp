#include "peer/KjThread.h"

#include "hemlockchute/core/EventLog.h"

#include <openssl/crypto.h>

namespace hemlockchute {
namespace {

/** Logs events in place of the messages that KJ writes to standard error. */
class LoggingExceptionCallback : public kj::ExceptionCallback {
public:
    void logMessage(kj::LogSeverity, const char*, int, int, kj::String&& text) override
    {
        logEvent(EventId::PeerFault, { { "what", std::string(text.cStr()) } });
    }
};

void logException(const kj::Exception& exception)
{
    logEvent(EventId::PeerFault, { { "what", std::string(exception.getDescription().cStr()) } });
}

} // namespace

KjThread& KjThread::instance()
{
    static KjThread thread;
    return thread;
}

KjThread::KjThread()
{
    // OpenSSL's exit handler must run after this object is destroyed, since the thread holds OpenSSL state.
    OPENSSL_init_crypto(0, nullptr);
    std::promise<void> started;
    m_thread = std::thread([this, &started] { runEventLoop(started); });
    started.get_future().wait();
}

KjThread::~KjThread() noexcept(false)
{
    post([this] { m_stopping = true; });
    m_thread.join();
}

bool KjThread::post(std::function<void()> function)
{
    std::lock_guard guard(m_lock);
    if (m_hasEnded)
        return false;
    m_queue.push_back(std::move(function));
    if (m_queue.size() == 1)
        m_wake->fulfill();
    return true;
}

void KjThread::run(const std::function<void()>& function)
{
    if (std::this_thread::get_id() == m_thread.get_id()) {
        function();
        return;
    }
    std::promise<void> ran;
    bool isPosted = post([&] {
        function();
        ran.set_value();
    });
    if (isPosted)
        ran.get_future().wait();
}

//==============================================================================
void KjThread::runEventLoop(std::promise<void>& started)
{
    LoggingExceptionCallback callback;
    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::TaskSet::ErrorHandler& errors = *this;
    auto tasks = kj::heap<kj::TaskSet>(errors);
    m_io = &io;
    m_tasks = tasks.get();
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    m_wake = kj::mv(pair.fulfiller);
    started.set_value();
    kj::Promise<void> wakeUp = kj::mv(pair.promise);
    while (!m_stopping) {
        wakeUp.wait(io.waitScope);
        auto next = kj::newPromiseAndCrossThreadFulfiller<void>();
        wakeUp = kj::mv(next.promise);
        runQueue(kj::mv(next.fulfiller));
    }
    drainQueue();
    {
        std::lock_guard guard(m_lock);
        m_hasEnded = true;
        m_wake = nullptr;
    }
    cancelTasks(kj::mv(tasks));
    OPENSSL_thread_stop();
}

/** Cancels unfinished tasks. Cancelling may queue events or add a further task, which must run before the event loop is destroyed. */
void KjThread::cancelTasks(kj::Own<kj::TaskSet> tasks)
{
    constexpr int rounds = 4;
    kj::TaskSet::ErrorHandler& errors = *this;
    for (int round = 0; round < rounds; ++round) {
        auto last = kj::heap<kj::TaskSet>(errors);
        m_tasks = last.get();
        tasks = kj::mv(last);
        m_io->waitScope.poll();
    }
}

/** Runs the posted functions; later ones wake the given fulfiller. */
void KjThread::runQueue(kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake)
{
    std::vector<std::function<void()>> work;
    {
        std::lock_guard guard(m_lock);
        work.swap(m_queue);
        m_wake = kj::mv(wake);
    }
    for (std::function<void()>& function : work) {
        KJ_IF_MAYBE (exception, kj::runCatchingExceptions(function))
            logException(*exception);
    }
}

/** Runs posted functions and queued events until none are left, since an event loop must not be destroyed while events are queued. */
void KjThread::drainQueue()
{
    std::vector<std::function<void()>> work;
    do {
        {
            std::lock_guard guard(m_lock);
            work.clear();
            work.swap(m_queue);
        }
        for (std::function<void()>& function : work) {
            KJ_IF_MAYBE (exception, kj::runCatchingExceptions(function))
                logException(*exception);
        }
        m_io->waitScope.poll();
    } while (!work.empty());
}

void KjThread::taskFailed(kj::Exception&& exception)
{
    logException(exception);
}

} // namespace hemlockchute
