#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Comfreysail::Tests {

/// A child process of a test. The destructor kills it.
class ChildProcess {
public:
    /// The first argument is the path of the program. Throws std::runtime_error if it cannot be started.
    explicit ChildProcess(std::vector<std::string> const& arguments);
    ~ChildProcess();
    ChildProcess(ChildProcess const&) = delete;
    ChildProcess& operator=(ChildProcess const&) = delete;

    /// Reads a line of standard output and returns it without the newline; returns an empty string at the end of the
    /// output.
    std::string readLine();

    /// Reads all output and waits for the process to exit. Returns the exit code, or -1 if a signal ended it.
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

/// The exit code and the output of a program that has ended.
struct Finished {
    int code { 0 };
    std::string output;
    std::string errors;
};

/// Runs a program and waits for it to exit.
Finished runProgram(std::vector<std::string> const& arguments);

}
