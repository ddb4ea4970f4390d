#include <LibMoves/Counters.h>
#include <array>

namespace Comfreysail::Moves {

namespace {

constexpr std::array<uint64_t Counters::*, 7> fields { &Counters::successes, &Counters::failures, &Counters::lost,
    &Counters::loadedSuccesses, &Counters::timed, &Counters::logLatencySum, &Counters::logLatencySquareSum };

}

Counters& Counters::operator+=(Counters const& other)
{
    for (auto const field : fields)
        this->*field += other.*field;
    return *this;
}

bool Counters::mergeMaximum(Counters const& other)
{
    auto hasIncreased = false;
    for (auto const field : fields) {
        if (other.*field > this->*field) {
            this->*field = other.*field;
            hasIncreased = true;
        }
    }
    return hasIncreased;
}

}
