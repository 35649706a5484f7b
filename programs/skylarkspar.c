/** @file skylarkspar.c @brief Command line of skylarkspar. */
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
                            "explain --caller-host HOST --path PATH\n"
                            "version";

static const char HELP[] =
    "A serving layer for very many LoRA adapters.\v"
    "serve runs a host until SIGTERM; edge runs a host on the users' "
    "platform, with SETTINGS or the file that the platform's environment "
    "names. check validates a settings file and reports the first error. "
    "publish creates a document, amend replaces one; FILE is TOML. show "
    "prints the documents in force, status the state of a host and of the "
    "members it knows; drain shuts a host down gracefully. "
    "explain asks a host of edge, at its metrics address, where a request "
    "would go now and why; it needs no key and sends nothing on. publish, "
    "amend, "
    "show, status and drain need --host and the operators' key, from "
    "--key-file or SKYLARKSPAR_KEY. Exit codes: docs/RESULT-CODES.md.";

/** Keys of options without a short form: not characters. */
enum {
    OPTION_SETTINGS_TABLE = 1000,
    OPTION_CALLER_HOST,
    OPTION_PATH,
    OPTION_ATTEMPT_ID,
    OPTION_WORKSPACE,
    OPTION_MODEL,
    OPTION_ADAPTER,
    OPTION_TOKENS,
    OPTION_PARTS,
};

static const struct argp_option OPTIONS[] = {
    {"host", 'H', "ADDRESS:PORT", 0, "host to send the command to", 0},
    {"key-file", 'k', "FILE", 0, "file whose first line is the operators' key",
     0},
    {"base", 'b', "REVISION", 0,
     "amend: revision that FILE is based on; default: the current one", 0},
    {"histogram", 'g', "NAME", 0,
     "status: draw a histogram: load_stall, queue_wait, first_token, total or "
     "batch_fill",
     0},
    {"json", 'j', NULL, 0, "status, explain: print JSON", 0},
    {"table", OPTION_SETTINGS_TABLE, NULL, 0,
     "check: print the table of all settings", 0},
    {"caller-host", OPTION_CALLER_HOST, "HOST", 0,
     "explain: Host field of the request", 0},
    {"path", OPTION_PATH, "PATH", 0, "explain: path of the request", 0},
    {"id", OPTION_ATTEMPT_ID, "ID", 0,
     "explain: id of the request, which breaks ties; default: none", 0},
    {"workspace", OPTION_WORKSPACE, "NAME", 0,
     "explain: workspace, by its name; keys are not accepted", 0},
    {"model", OPTION_MODEL, "MODEL", 0, "explain: model", 0},
    {"adapter", OPTION_ADAPTER, "ADAPTER", 0, "explain: adapter", 0},
    {"tokens", OPTION_TOKENS, "PROMPT,OUTPUT", 0,
     "explain: tokens of the prompt, and most of the output", 0},
    {"parts", OPTION_PARTS, "ID:TOKENS,...", 0,
     "explain: parts of the prompt, with hexadecimal ids", 0},
    {0},
};

static char operator_key[256];

static void
read_key_file(const char *path, struct argp_state *state)
{
    FILE *file = fopen(path, "r");
    if (file == NULL ||
        fgets(operator_key, sizeof operator_key, file) == NULL) {
        argp_failure(state, SKY_E_USAGE, 0, "cannot read %s", path);
    }
    if (file != NULL) {
        fclose(file);
    }
    operator_key[strcspn(operator_key, "\r\n")] = '\0';
}

static void
parse_argument(sky_arguments_t *arguments, const char *text,
               struct argp_state *state)
{
    const char *command = arguments->command;
    bool is_document_command =
        command != NULL &&
        (strcmp(command, "publish") == 0 || strcmp(command, "amend") == 0 ||
         strcmp(command, "show") == 0);
    if (command == NULL) {
        arguments->command = text;
    }
    else if (!is_document_command && arguments->settings_path == NULL) {
        arguments->settings_path = text;
    }
    else if (is_document_command && arguments->document_kind == NULL) {
        arguments->document_kind = text;
    }
    else if (is_document_command && arguments->document_name == NULL) {
        arguments->document_name = text;
    }
    else if (is_document_command && arguments->document_path == NULL) {
        arguments->document_path = text;
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
        arguments->host_address = text;
        return 0;
    case 'k':
        read_key_file(text, state);
        arguments->operator_key = operator_key;
        return 0;
    case 'b':
        arguments->base_revision = strtoll(text, NULL, 10);
        return 0;
    case 'g':
        arguments->histogram_name = text;
        return 0;
    case 'j':
        arguments->prints_json = true;
        return 0;
    case OPTION_SETTINGS_TABLE:
        arguments->prints_settings_table = true;
        return 0;
    case OPTION_CALLER_HOST:
        arguments->caller_host = text;
        return 0;
    case OPTION_PATH:
        arguments->path = text;
        return 0;
    case OPTION_ATTEMPT_ID:
        arguments->attempt_id = text;
        return 0;
    case OPTION_WORKSPACE:
        arguments->workspace = text;
        return 0;
    case OPTION_MODEL:
        arguments->model = text;
        return 0;
    case OPTION_ADAPTER:
        arguments->adapter = text;
        return 0;
    case OPTION_TOKENS:
        arguments->tokens = text;
        return 0;
    case OPTION_PARTS:
        arguments->parts = text;
        return 0;
    case ARGP_KEY_ARG:
        parse_argument(arguments, text, state);
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
    {"serve", SkyCommand_ServeHost},
    {"edge", SkyCommand_ServeEdge},
    {"check", SkyCommand_CheckSettings},
    {"publish", SkyCommand_PublishDocument},
    {"amend", SkyCommand_AmendDocument},
    {"show", SkyCommand_ShowDocuments},
    {"status", SkyCommand_ShowStatus},
    {"drain", SkyCommand_DrainHost},
    {"explain", SkyCommand_ExplainRequest},
};

static sky_result_t
run_command(const sky_arguments_t *arguments)
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
    fprintf(stderr, "skylarkspar: unknown command '%s'; see --help\n", name);
    return SKY_E_USAGE;
}

int
main(int argc, char **argv)
{
    static const struct argp PARSER = {OPTIONS, parse_option, USAGE, HELP,
                                       NULL,    NULL,         NULL};
    sky_arguments_t arguments = {.base_revision = -1};
    argp_err_exit_status = SKY_E_USAGE;
    arguments.operator_key = getenv("SKYLARKSPAR_KEY");
    argp_parse(&PARSER, argc, argv, 0, NULL, &arguments);
    return (int)run_command(&arguments);
}
