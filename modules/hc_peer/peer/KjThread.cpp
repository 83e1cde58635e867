#include "peer/KjThread.h"

#include "hemlockchute/core/EventLog.h"

#include <openssl/crypto.h>

namespace hemlockchute {
namespace {

/** Turns what KJ would write to standard error into events. */
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
    // Its exit handler must come after this object's end, since the thread holds state of OpenSSL.
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
    bool isTaken = post([&] {
        function();
        ran.set_value();
    });
    if (isTaken)
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
    kj::Promise<void> awoken = kj::mv(pair.promise);
    while (!m_stopping) {
        awoken.wait(io.waitScope);
        auto next = kj::newPromiseAndCrossThreadFulfiller<void>();
        awoken = kj::mv(next.promise);
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

/** Cancels what has not ended. A cancelled task may make events due, or leave a last task behind, and the event loop may not go before they have run. */
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

/** Runs what was posted; what is posted from now on wakes the given fulfiller. */
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

/** Lets everything that is being closed end: an event loop may not go while events are due. */
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
