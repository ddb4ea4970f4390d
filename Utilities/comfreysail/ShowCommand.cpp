#include "Commands.h"
#include "SettingsAccess.h"
#include <LibSettings/Difference.h>
#include <LibSettings/EffectiveSettings.h>

namespace json = boost::json;

namespace Comfreysail::Tool {

namespace {

json::value jsonOf(Settings::SettingValue const& value)
{
    if (auto const* integer = std::get_if<int64_t>(&value))
        return *integer;
    return json::string(std::get<std::string>(value));
}

std::string headline(Settings::SettingsSnapshot const& snapshot)
{
    if (snapshot.revision.revision == 0)
        return "# no settings are in force\n";
    return "# revision " + std::to_string(snapshot.revision.revision) + ", change " + snapshot.revision.changeId + '\n';
}

Core::Error unknownName(std::string const& what, std::string const& name)
{
    return { Core::ErrorKind::InvalidSettings, what + " \"" + name + "\" does not exist in the settings in force" };
}

}

Report runShow(ToolContext const& context)
{
    auto const& invocation = context.invocation();
    auto const read = readSettingsInForce(context);
    if (Core::isError(read))
        return Report::ofError(Core::errorOf(read));
    auto const& snapshot = Core::valueOf(read);
    auto const& tree = *snapshot.tree;
    if (!invocation.service.empty() && !tree.service(invocation.service))
        return Report::ofError(unknownName("service", invocation.service));
    if (!invocation.department.empty() && !tree.department(invocation.department))
        return Report::ofError(unknownName("department", invocation.department));

    Report report;
    report.json["revision"] = snapshot.revision.revision;
    report.json["change"] = snapshot.revision.changeId;
    report.json["hash"] = snapshot.revision.hash;
    if (invocation.wantsToml) {
        report.text = snapshot.toml;
        report.json["toml"] = snapshot.toml;
        return report;
    }
    report.text = headline(snapshot);
    json::array values;
    for (auto const& rule : Settings::settingKeyRules()) {
        if (!invocation.key.empty() && invocation.key != rule.name)
            continue;
        auto const effective = Settings::effectiveValue(tree, rule.key, invocation.service, invocation.department);
        report.text += std::string(rule.name) + " = " + Settings::describe(effective.value) + "  # from "
            + effective.origin.text() + '\n';
        values.emplace_back(json::object {
            { "key", rule.name }, { "value", jsonOf(effective.value) }, { "origin", effective.origin.text() } });
    }
    report.json["values"] = std::move(values);
    return report;
}

Report runDiff(ToolContext const& context)
{
    auto const file = readSettingsFile(context.invocation().file);
    if (Core::isError(file))
        return Report::ofError(Core::errorOf(file));
    auto const read = readSettingsInForce(context);
    if (Core::isError(read))
        return Report::ofError(Core::errorOf(read));
    auto const& snapshot = Core::valueOf(read);
    auto const differences = Settings::differences(*snapshot.tree, *Core::valueOf(file).tree);
    Report report;
    report.text = headline(snapshot) + differencesText(differences);
    report.json["revision"] = snapshot.revision.revision;
    report.json["differences"] = differencesJson(differences);
    return report;
}

}
