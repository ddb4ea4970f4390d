#include "StopSignal.h"

#include <utility>

namespace Comfreysail::Daemon {

StopSignal::Scope::Scope(StopSignal& signal, std::function<void()> onStop)
    : m_signal(signal)
    , m_outerOnStop(std::exchange(signal.m_onStop, std::move(onStop)))
{
}

StopSignal::Scope::~Scope() { m_signal.m_onStop = std::move(m_outerOnStop); }

void StopSignal::stop(Core::ErrorKind reason)
{
    if (m_reason)
        return;
    m_reason = reason;
    if (m_onStop)
        m_onStop();
}

}
