/** @file skylarkspar.c @brief Command line of the one binary. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "programs/commands.h"

#define VERSION "0.1.0"

const char *argp_program_version = "skylarkspar " VERSION;

static const char USAGE[] = "serve SETTINGS\n"
                            "edge [SETTINGS]\n"
                            "check SETTINGS\n"
                            "publish (template|workspace) NAME FILE\n"
                            "amend (template|workspace) NAME FILE\n"
                            "show [(template|workspace) NAME]\n"
                            "status\n"
                            "drain\n"
                            "version";

static const char HELP[] =
    "A serving layer for very many LoRA adapters.\v"
    "serve runs a host until SIGTERM; edge runs one on the users' platform. "
    "check reads its settings and says what "
    "is wrong. publish creates a document, amend replaces one; FILE is TOML. "
    "show prints what is in force, status the state of a host, drain stops a "
    "host in order. Operators' commands need --host and the operators' key, "
    "from --key-file or SKYLARKSPAR_KEY. Exit codes: docs/RESULT-CODES.md.";

enum {
    OPTION_TABLE = 1000,
};

static const struct argp_option OPTIONS[] = {
    {"host", 'H', "ADDRESS:PORT", 0, "host to talk to", 0},
    {"key-file", 'k', "FILE", 0, "file with the operators' key", 0},
    {"base", 'b', "REVISION", 0, "revision the amendment was made from", 0},
    {"histogram", 'g', "NAME", 0,
     "draw load_stall, queue_wait, first_token, total, batch_fill", 0},
    {"json", 'j', NULL, 0, "print JSON", 0},
    {"table", OPTION_TABLE, NULL, 0, "check: print the table of settings", 0},
    {0},
};

static char key_text[256];

static void
read_key_file(const char *path, struct argp_state *state)
{
    FILE *file = fopen(path, "r");
    if (file == NULL || fgets(key_text, sizeof key_text, file) == NULL) {
        argp_failure(state, SKY_E_USAGE, 0, "%s: cannot be read", path);
    }
    if (file != NULL) {
        fclose(file);
    }
    key_text[strcspn(key_text, "\r\n")] = '\0';
}

static void
take_argument(sky_arguments_t *arguments, const char *text,
              struct argp_state *state)
{
    const char *command = arguments->command;
    bool on_document = command != NULL && (strcmp(command, "publish") == 0 ||
                                           strcmp(command, "amend") == 0 ||
                                           strcmp(command, "show") == 0);
    if (command == NULL) {
        arguments->command = text;
    }
    else if (!on_document && arguments->settings == NULL) {
        arguments->settings = text;
    }
    else if (on_document && arguments->kind == NULL) {
        arguments->kind = text;
    }
    else if (on_document && arguments->name == NULL) {
        arguments->name = text;
    }
    else if (on_document && arguments->file == NULL) {
        arguments->file = text;
    }
    else {
        argp_error(state, "too many arguments");
    }
}

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    sky_arguments_t *arguments = state->input;
    switch (key) {
    case 'H':
        arguments->host = text;
        return 0;
    case 'k':
        read_key_file(text, state);
        arguments->key = key_text;
        return 0;
    case 'b':
        arguments->base = strtoll(text, NULL, 10);
        return 0;
    case 'g':
        arguments->histogram = text;
        return 0;
    case 'j':
        arguments->json = true;
        return 0;
    case OPTION_TABLE:
        arguments->table = true;
        return 0;
    case ARGP_KEY_ARG:
        take_argument(arguments, text, state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

typedef struct {
    const char *name;
    sky_result_t (*run)(const sky_arguments_t *arguments);
} command_t;

static const command_t COMMANDS[] = {
    {"serve", Command_Serve},   {"edge", Command_Edge},
    {"check", Command_Check},   {"publish", Command_Publish},
    {"amend", Command_Amend},   {"show", Command_Show},
    {"status", Command_Status}, {"drain", Command_Drain},
};

static sky_result_t
run(const sky_arguments_t *arguments)
{
    const char *name = arguments->command ? arguments->command : "";
    if (strcmp(name, "version") == 0) {
        puts(argp_program_version);
        return SKY_OK;
    }
    for (size_t i = 0; i < sizeof COMMANDS / sizeof COMMANDS[0]; i++) {
        if (strcmp(name, COMMANDS[i].name) == 0) {
            return COMMANDS[i].run(arguments);
        }
    }
    fprintf(stderr, "skylarkspar: no command '%s'; see --help\n", name);
    return SKY_E_USAGE;
}

int
main(int argc, char **argv)
{
    static const struct argp PARSER = {OPTIONS, parse_option, USAGE, HELP,
                                       NULL,    NULL,         NULL};
    sky_arguments_t arguments = {.base = -1};
    argp_err_exit_status = SKY_E_USAGE;
    arguments.key = getenv("SKYLARKSPAR_KEY");
    argp_parse(&PARSER, argc, argv, 0, NULL, &arguments);
    return (int)run(&arguments);
}
