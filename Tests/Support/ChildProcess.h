#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Comfreysail::Tests {

/// A program that a test runs. It is ended, by its id, when the object goes.
class ChildProcess {
public:
    /// `arguments` starts with the path of the program.
    explicit ChildProcess(std::vector<std::string> const& arguments);
    ~ChildProcess();
    ChildProcess(ChildProcess const&) = delete;
    ChildProcess& operator=(ChildProcess const&) = delete;

    /// The next line of standard output, without its end; empty at the end of the output.
    std::string readLine();

    /// Reads all output and waits for the end. Returns the exit code, or -1 after a signal.
    int wait();

    std::string const& output() const { return m_output; }
    std::string const& errors() const { return m_errors; }

private:
    pid_t m_id { -1 };
    int m_outputPipe { -1 };
    int m_errorPipe { -1 };
    std::string m_output;
    std::string m_errors;
};

/// Runs a program to its end.
struct Finished {
    int code { 0 };
    std::string output;
    std::string errors;
};

Finished runProgram(std::vector<std::string> const& arguments);

}
