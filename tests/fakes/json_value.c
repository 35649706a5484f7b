/**
 * @file json_value.c
 * @brief Prints values of a JSON text, for tests.
 *
 * skyfake json PATH: reads standard input and prints the values at PATH, one a
 * line. PATH is a list of names, separated by dots; "*" stands for all items
 * of a list. Exits with 1 if the input is not JSON.
 */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "tests/fakes/fake_http.h"

#define NAME_BYTES 64

static void
print_values(const json_t *value, const char *path)
{
    char name[NAME_BYTES];
    size_t length = strcspn(path, ".");
    if (length == 0) {
        json_dumpf(value, stdout,
                   JSON_ENCODE_ANY | JSON_COMPACT | JSON_SORT_KEYS);
        putchar('\n');
        return;
    }
    const char *rest = path + length + (path[length] == '.' ? 1 : 0);
    if (length == 1 && path[0] == '*') {
        size_t index;
        const json_t *item;
        json_array_foreach(value, index, item)
        {
            print_values(item, rest);
        }
        return;
    }
    snprintf(name, sizeof name, "%.*s", (int)length, path);
    const json_t *member = json_object_get(value, name);
    if (member != NULL) {
        print_values(member, rest);
    }
}

int
JsonValue_Main(int argc, char **argv)
{
    (void)argc;
    json_t *root = json_loadf(stdin, 0, NULL);
    if (root == NULL) {
        fprintf(stderr, "skyfake: the input is not JSON\n");
        return 1;
    }
    print_values(root, argv[2]);
    json_decref(root);
    return 0;
}
