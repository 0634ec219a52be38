#ifndef SUITES_H
#define SUITES_H

#include <check.h>

Suite *packet_suite(void);
Suite *router_suite(void);
Suite *token_suite(void);

#endif
