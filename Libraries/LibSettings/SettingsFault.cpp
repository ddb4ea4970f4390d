#include <LibSettings/SettingsFault.h>

namespace Comfreysail::Settings {

std::string SettingsFault::text() const
{
    auto result = file;
    if (line != 0)
        result += ':' + std::to_string(line);
    if (!key.empty())
        result += ": " + key;
    return result + ": " + problem;
}

Core::Error toError(SettingsFaults const& faults)
{
    Core::Error error { Core::ErrorKind::InvalidSettings, {} };
    for (auto const& fault : faults) {
        if (!error.detail.empty())
            error.detail += '\n';
        error.detail += fault.text();
    }
    return error;
}

}
