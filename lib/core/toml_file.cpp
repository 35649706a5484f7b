#include "core/toml_file.h"

#include <cstdio>
#include <cstring>
#include <sstream>
#include <string>

#include <toml++/toml.h>

namespace {

void
format_parse_error(const char *path, const toml::parse_error &err, char *error)
{
    std::snprintf(error, SKY_ERROR_TEXT_BYTES, "%s:%u: %s", path,
                  (unsigned)err.source().begin.line,
                  std::string(err.description()).c_str());
}

sky_result_t
visit_leaf(const char *table, int64_t index, const toml::key &key,
           const toml::node &node, sky_toml_visitor_t visit, void *context)
{
    std::string name(key.str());
    std::string text;
    sky_toml_leaf_t leaf = {};
    leaf.table = table;
    leaf.index = index;
    leaf.key = name.c_str();
    leaf.line = key.source().begin.line;
    leaf.type = SKY_TOML_OTHER;
    leaf.string = "";
    if (auto integer = node.as_integer()) {
        leaf.type = SKY_TOML_INTEGER;
        leaf.integer = integer->get();
        leaf.number = (double)leaf.integer;
    }
    else if (auto number = node.as_floating_point()) {
        leaf.type = SKY_TOML_FLOAT;
        leaf.number = number->get();
    }
    else if (auto boolean = node.as_boolean()) {
        leaf.type = SKY_TOML_BOOLEAN;
        leaf.boolean = boolean->get();
    }
    else if (auto string = node.as_string()) {
        leaf.type = SKY_TOML_STRING;
        text = string->get();
        leaf.string = text.c_str();
    }
    return visit(&leaf, context);
}

sky_result_t
visit_table(const char *name, int64_t index, const toml::table &table,
            sky_toml_visitor_t visit, void *context)
{
    for (auto &&[key, node] : table) {
        sky_result_t result =
            visit_leaf(name, index, key, node, visit, context);
        if (SkyResult_IsError(result)) {
            return result;
        }
    }
    return SKY_OK;
}

sky_result_t
visit_array(const char *name, const toml::array &array,
            sky_toml_visitor_t visit, void *context)
{
    int64_t index = 0;
    for (auto &&item : array) {
        if (const auto *table = item.as_table()) {
            sky_result_t result =
                visit_table(name, index, *table, visit, context);
            if (SkyResult_IsError(result)) {
                return result;
            }
        }
        index++;
    }
    return SKY_OK;
}

sky_result_t
visit_root(const toml::table &root, sky_toml_visitor_t visit, void *context)
{
    for (auto &&[key, node] : root) {
        std::string name(key.str());
        const auto *array = node.as_array();
        sky_result_t result;
        if (const auto *table = node.as_table()) {
            result = visit_table(name.c_str(), -1, *table, visit, context);
        }
        else if (array != nullptr && array->is_array_of_tables()) {
            result = visit_array(name.c_str(), *array, visit, context);
        }
        else {
            result = visit_leaf("", -1, key, node, visit, context);
        }
        if (SkyResult_IsError(result)) {
            return result;
        }
    }
    return SKY_OK;
}

} // namespace

sky_result_t
SkyToml_ForEachLeaf(const char *path, sky_toml_visitor_t visit, void *context,
                    char *error)
{
    try {
        toml::table root = toml::parse_file(path);
        return visit_root(root, visit, context);
    } catch (const toml::parse_error &err) {
        format_parse_error(path, err, error);
        return SKY_E_SETTINGS;
    }
}

sky_result_t
SkyToml_ReadAsJson(const char *path, char **json, char *error)
{
    try {
        std::ostringstream text;
        text << toml::json_formatter{toml::parse_file(path)};
        *json = strdup(text.str().c_str());
        return *json != nullptr ? SKY_OK : SKY_E_MEMORY;
    } catch (const toml::parse_error &err) {
        format_parse_error(path, err, error);
        return SKY_E_SETTINGS;
    }
}
