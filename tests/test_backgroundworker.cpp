#include "gateway/backgroundworker.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace laburnumspar::detail;

namespace {

/// Sets the thread that destroys it.
struct Probe {
    std::promise<std::thread::id> destroyedBy;

    ~Probe()
    {
        destroyedBy.set_value(std::this_thread::get_id());
    }
};

/// Runs a calculation, so that the thread has started.
std::thread::id threadOf(BackgroundWorker &worker)
{
    asio::io_context context;
    std::thread::id id;
    const auto calculate = [] { return std::this_thread::get_id(); };
    const auto task = [&]() -> awaitable<void> { id = co_await worker.run(calculate); };
    asio::co_spawn(context, task, asio::detached);
    context.run();
    return id;
}

} // namespace

// Guards against freeing the thousands of blocks of an old route table on the thread that accepts connections.
BOOST_AUTO_TEST_CASE(lastReleaseDestroysOnTheWorkerThread)
{
    BackgroundWorker worker;
    const auto thread = threadOf(worker);
    auto probe = std::make_shared<Probe>();
    auto destroyedBy = probe->destroyedBy.get_future();
    auto pointer = worker.destroyLater(std::move(probe));
    auto copy = pointer;
    pointer.reset();
    BOOST_TEST((destroyedBy.wait_for(std::chrono::seconds(0)) == std::future_status::timeout));
    copy.reset();
    BOOST_TEST((destroyedBy.get() == thread));
}

// Guards against objects that are leaked, or a use of the thread after its end, when they outlive the worker.
BOOST_AUTO_TEST_CASE(objectsMayOutliveTheWorker)
{
    auto probe = std::make_shared<Probe>();
    auto destroyedBy = probe->destroyedBy.get_future();
    std::shared_ptr<Probe> pointer;
    {
        BackgroundWorker worker;
        threadOf(worker);
        pointer = worker.destroyLater(std::move(probe));
    }
    pointer.reset();
    BOOST_TEST((destroyedBy.get() == std::this_thread::get_id()));
    BackgroundWorker unused;
    BOOST_TEST(unused.destroyLater(std::shared_ptr<Probe>()) == nullptr);
}
