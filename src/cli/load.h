/**
 * @file load.h
 * @brief `papayaswitch load`: sends requests at a rate and reports results.
 */
#ifndef PPS_CLI_LOAD_H
#define PPS_CLI_LOAD_H

/**
 * Runs the command; argv[0] is its name.
 * @return the exit status: 0; 1 if a guarantee was violated or the run failed;
 *         2 for invalid arguments
 */
int
pps_cli_load(int argc, char **argv);

#endif
