#pragma once

#include <LibStore/StorePort.h>
#include <coroutine>
#include <exception>
#include <functional>
#include <optional>
#include <utility>

namespace Comfreysail::Store {

/// Return type of a coroutine that starts immediately, destroys itself when it ends and reports its result through a
/// callback parameter. It resumes on the threads on which the port calls back. Not part of the public header.
struct CallbackTask {
    struct promise_type { // NOLINT(readability-identifier-naming): the language requires this name.
        CallbackTask get_return_object() { return {}; }
        std::suspend_never initial_suspend() noexcept { return {}; }
        std::suspend_never final_suspend() noexcept { return {}; }
        void return_void() { }
        void unhandled_exception() { std::terminate(); }
    };
};

/// Awaits a call that reports its result through a callback.
template<typename T> class CallbackAwaiter {
public:
    explicit CallbackAwaiter(std::function<void(Callback<T>)> start)
        : m_start(std::move(start))
    {
    }

    bool await_ready() const noexcept { return false; }

    void await_suspend(std::coroutine_handle<> handle)
    {
        // The callback may resume and finish the coroutine before the call returns, which destroys this object.
        auto const start = std::move(m_start);
        start([this, handle](Core::Result<T> result) {
            m_result = std::move(result);
            handle.resume();
        });
    }

    Core::Result<T> await_resume() { return std::move(*m_result); }

private:
    std::function<void(Callback<T>)> m_start;
    std::optional<Core::Result<T>> m_result;
};

// Each awaiter copies the port's function, because the coroutine's copy may be destroyed during the call.

inline CallbackAwaiter<std::optional<Row>> readRow(
    StorePort const& port, std::string table, std::string key, Core::Instant deadline)
{
    return CallbackAwaiter<std::optional<Row>>(
        [call = port.read, table = std::move(table), key = std::move(key), deadline](
            auto callback) { call(table, key, deadline, std::move(callback)); });
}

inline CallbackAwaiter<TransactionResult> transact(
    StorePort const& port, std::vector<Operation> operations, Core::Instant deadline)
{
    return CallbackAwaiter<TransactionResult>([call = port.transact, operations = std::move(operations), deadline](
                                                  auto callback) { call(operations, deadline, std::move(callback)); });
}

}
