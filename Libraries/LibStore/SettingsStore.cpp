#include <LibStore/SettingsStore.h>

namespace Comfreysail::Store {

void readSettingsHead(StorePort const& port, Core::Instant deadline, Callback<std::optional<SettingsHead>> callback)
{
    port.read("settings", "head", deadline, [callback = std::move(callback)](auto result) {
        if (Core::isError(result))
            return callback(Core::errorOf(result));
        auto const& row = Core::valueOf(result);
        if (!row)
            return callback(std::optional<SettingsHead>());
        auto head = SettingsHead::fromRow(*row);
        if (Core::isError(head))
            return callback(Core::errorOf(head));
        callback(std::optional(Core::takeValue(std::move(head))));
    });
}

void readSettingsSnapshot(
    StorePort const& port, SettingsHead head, Core::Instant deadline, Callback<Settings::SettingsSnapshot> callback)
{
    if (head.toml)
        return callback(Settings::makeSnapshot(std::move(head.revision), std::move(*head.toml)));
    port.readObject(head.objectName.value_or(""), deadline,
        [revision = std::move(head.revision), callback = std::move(callback)](auto content) {
            if (Core::isError(content))
                return callback(Core::errorOf(content));
            callback(Settings::makeSnapshot(revision, Core::takeValue(std::move(content))));
        });
}

}
