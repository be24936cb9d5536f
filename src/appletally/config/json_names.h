// Lists of names to JSON and back. Internal to the codecs of this folder.
#pragma once

#include "appletally/base/json_reader.h"
#include "appletally/base/json_writer.h"

#include <string>
#include <vector>

namespace appletally::config {

template <typename T>
base::Json namesToJson(const std::vector<T>& names)
{
    base::Json out = base::Json::array();
    for (const T& it : names)
        out.push_back(it.text);
    return out;
}

template <typename T>
void writeNames(base::JsonWriter& out, std::string_view key, const std::vector<T>& names)
{
    base::writeKey(out, key);
    out.StartArray();
    for (const T& it : names)
        base::writeText(out, it.text);
    out.EndArray();
}

template <typename T>
std::vector<T> readNames(base::JsonReader& it, const std::string& key)
{
    std::vector<T> out;
    for (std::string& text : it.texts(key))
        out.push_back(T { std::move(text) });
    return out;
}

} // namespace appletally::config
