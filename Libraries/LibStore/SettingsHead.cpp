#include <LibStore/ChangeRow.h>
#include <LibStore/JsonFields.h>
#include <LibStore/SettingsHead.h>

namespace Comfreysail::Store {

namespace {

boost::json::object toObject(Settings::SettingsRevision const& revision)
{
    return { { "revision", static_cast<int64_t>(revision.revision) }, { "change", revision.changeId },
        { "hash", revision.hash } };
}

Settings::SettingsRevision revisionFrom(JsonFields& fields)
{
    return { static_cast<uint64_t>(fields.integer("revision", 1)), fields.text("change"), fields.text("hash") };
}

}

std::string SettingsHead::toJson() const
{
    auto object = toObject(revision);
    if (toml)
        object["toml"] = *toml;
    if (objectName)
        object["object"] = *objectName;
    return boost::json::serialize(object);
}

Core::Result<SettingsHead> SettingsHead::fromJson(std::string_view json, std::string subject)
{
    JsonFields fields(json, std::move(subject));
    SettingsHead head { revisionFrom(fields), fields.optionalText("toml"), fields.optionalText("object"), 0 };
    if (!head.toml && !head.objectName)
        fields.addFault("has neither field \"toml\" nor field \"object\"");
    if (fields.error())
        return *fields.error();
    return head;
}

Core::Result<SettingsHead> SettingsHead::fromRow(Row const& row)
{
    auto head = fromJson(row.value, "row settings/head");
    if (auto* value = std::get_if<SettingsHead>(&head))
        value->rowVersion = row.version;
    return head;
}

std::string ChangeRow::toJson() const { return boost::json::serialize(toObject(revision)); }

Core::Result<ChangeRow> ChangeRow::fromJson(std::string const& json)
{
    JsonFields fields(json, "row of table changes");
    ChangeRow row { revisionFrom(fields) };
    if (fields.error())
        return *fields.error();
    return row;
}

}
