#include <Support/ChildProcess.h>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace Comfreysail::Tests {

ChildProcess::ChildProcess(std::vector<std::string> const& arguments)
{
    std::array<int, 2> output {};
    std::array<int, 2> errors {};
    if (pipe2(output.data(), O_CLOEXEC) != 0 || pipe2(errors.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("cannot create a pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, errors[1], STDERR_FILENO);
    std::vector<char*> pointers;
    for (auto const& argument : arguments)
        pointers.push_back(const_cast<char*>(argument.c_str()));
    pointers.push_back(nullptr);
    auto const failed = posix_spawn(&m_id, pointers[0], &actions, nullptr, pointers.data(), environ) != 0;
    posix_spawn_file_actions_destroy(&actions);
    close(output[1]);
    close(errors[1]);
    m_outputPipe = output[0];
    m_errorPipe = errors[0];
    if (failed) {
        m_id = -1;
        throw std::runtime_error("cannot start " + arguments[0]);
    }
}

ChildProcess::~ChildProcess()
{
    if (m_id > 0) {
        kill(m_id, SIGKILL);
        waitpid(m_id, nullptr, 0);
    }
    close(m_outputPipe);
    close(m_errorPipe);
}

std::string ChildProcess::readLine()
{
    std::string line;
    char character = 0;
    while (read(m_outputPipe, &character, 1) == 1 && character != '\n')
        line += character;
    return line;
}

int ChildProcess::wait()
{
    std::array<pollfd, 2> pipes { { { m_outputPipe, POLLIN, 0 }, { m_errorPipe, POLLIN, 0 } } };
    std::array<std::string*, 2> const texts { &m_output, &m_errors };
    while (pipes[0].fd >= 0 || pipes[1].fd >= 0) {
        poll(pipes.data(), pipes.size(), -1);
        for (size_t index = 0; index < pipes.size(); ++index) {
            if (pipes[index].fd < 0 || pipes[index].revents == 0)
                continue;
            std::array<char, 4096> buffer {};
            auto const count = read(pipes[index].fd, buffer.data(), buffer.size());
            if (count > 0)
                texts[index]->append(buffer.data(), static_cast<size_t>(count));
            else
                pipes[index].fd = -1;
        }
    }
    int status = 0;
    waitpid(m_id, &status, 0);
    m_id = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Finished runProgram(std::vector<std::string> const& arguments)
{
    ChildProcess process(arguments);
    auto const code = process.wait();
    return { code, process.output(), process.errors() };
}

}
