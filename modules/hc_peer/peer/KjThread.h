#pragma once

#include <functional>
#include <future>
#include <kj/async-io.h>
#include <kj/async.h>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace hemlockchute {

//==============================================================================
/**
    The one thread of the process on which Cap'n Proto RPC runs.

    Other threads pass it work with post(); results go back through a ReplyTable.
    Thread safety: instance(), post() and run() may be called from any thread; the rest only from
    the KJ thread itself.

    @see ReplyTable
*/
class KjThread : private kj::TaskSet::ErrorHandler {
public:
    /** The thread is started at first use and ends when the process exits. */
    static KjThread& instance();

    KjThread();
    ~KjThread() noexcept(false);
    KjThread(const KjThread&) = delete;
    KjThread& operator=(const KjThread&) = delete;

    //==============================================================================
    /** Runs a function on the KJ thread, in the order of the calls; returns false once the thread has ended. */
    bool post(std::function<void()>);
    /** Runs a function on the KJ thread and waits until it has returned. Precondition: the function does not throw. */
    void run(const std::function<void()>&);

    //==============================================================================
    kj::AsyncIoContext& io() { return *m_io; }
    kj::Timer& timer() { return m_io->provider->getTimer(); }
    /** Owns a promise until it completes; a failure is logged. */
    void detach(kj::Promise<void>&& promise) { m_tasks->add(kj::mv(promise)); }
    /** Destroys an object in a later turn of the event loop, for objects that may have callbacks in progress. */
    template <typename T>
    void destroyLater(T&& object)
    {
        detach(kj::evalLater([owned = std::forward<T>(object)]() mutable { auto last = kj::mv(owned); }));
    }

private:
    void runEventLoop(std::promise<void>& started);
    void runQueue(kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake);
    void drainQueue();
    void cancelTasks(kj::Own<kj::TaskSet>);
    void taskFailed(kj::Exception&&) override;

    kj::AsyncIoContext* m_io = nullptr;
    kj::TaskSet* m_tasks = nullptr;
    std::mutex m_lock;
    std::vector<std::function<void()>> m_queue;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wake;
    bool m_stopping = false;
    bool m_hasEnded = false;
    std::thread m_thread;
};

} // namespace hemlockchute
