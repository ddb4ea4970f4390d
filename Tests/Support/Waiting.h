#pragma once

#include <LibStore/Store.h>
#include <future>
#include <memory>

namespace Comfreysail::Tests {

inline Core::Instant inSeconds(int seconds) { return Core::monotonicNow() + std::chrono::seconds(seconds); }

/// Starts an asynchronous call and waits for its callback, which must be called exactly once. Returns an error after
/// 20 s.
template<typename T, typename Start> Core::Result<T> await(Start start)
{
    auto const promise = std::make_shared<std::promise<Core::Result<T>>>();
    auto future = promise->get_future();
    start([promise](Core::Result<T> result) { promise->set_value(std::move(result)); });
    if (future.wait_for(std::chrono::seconds(20)) != std::future_status::ready)
        return Core::Error { Core::ErrorKind::Internal, "the callback was not called within 20 s" };
    return future.get();
}

inline Core::Result<Store::ApplyResult> apply(Store::StorePort const& port, Store::ApplyRequest const& request)
{
    return await<Store::ApplyResult>(
        [&](auto callback) { Store::applyChange(port, request, inSeconds(5), std::move(callback)); });
}

}
