#include "Commands.h"
#include "Invocation.h"
#include <iostream>

using namespace Comfreysail::Tool;

namespace {

Report runCommand(Invocation const& invocation)
{
    ToolContext const context(invocation);
    switch (invocation.command) {
    case Invocation::Command::Apply:
        return runApply(context);
    case Invocation::Command::Show:
        return runShow(context);
    case Invocation::Command::Diff:
        return runDiff(context);
    case Invocation::Command::Status:
        return runStatus(context);
    case Invocation::Command::Moves:
        return runMoves(context);
    case Invocation::Command::Explain:
        return runExplain(invocation);
    case Invocation::Command::Route:
        return runRoute(context);
    case Invocation::Command::Help:
    case Invocation::Command::Version:
        break;
    }
    return {};
}

}

int main(int argc, char** argv)
{
    auto const parsed = parseInvocation({ argv + 1, argv + argc }, Comfreysail::Core::wallNow());
    if (Comfreysail::Core::isError(parsed)) {
        std::cerr << "comfreysail: " << Comfreysail::Core::errorOf(parsed).detail
                  << "\ncomfreysail --help lists commands and options\n";
        return static_cast<int>(ExitCode::Usage);
    }
    auto const& invocation = Comfreysail::Core::valueOf(parsed);
    if (invocation.command == Invocation::Command::Help) {
        std::cout << usageText();
        return 0;
    }
    if (invocation.command == Invocation::Command::Version) {
        std::cout << "comfreysail " COMFREYSAIL_VERSION "\n";
        return 0;
    }
    auto const report = runCommand(invocation);
    report.print(invocation.isJson);
    return static_cast<int>(report.code);
}
