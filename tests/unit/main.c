#include <check.h>
#include <stdlib.h>

#include "suites.h"

int
main(void)
{
	SRunner *runner = srunner_create(packet_suite());
	int failed;

	srunner_add_suite(runner, callerflow_suite());
	srunner_add_suite(runner, router_suite());
	srunner_add_suite(runner, document_suite());
	srunner_add_suite(runner, keystore_suite());
	srunner_add_suite(runner, node_suite());
	srunner_add_suite(runner, platform_suite());
	srunner_add_suite(runner, settings_suite());
	srunner_add_suite(runner, callerflow_suite());
	srunner_add_suite(runner, net_suite());
	srunner_add_suite(runner, token_suite());
	srunner_add_suite(runner, flow_suite());
	srunner_add_suite(runner, limiter_suite());
	srunner_add_suite(runner, agent_suite());
	srunner_add_suite(runner, transfer_suite());
	srunner_add_suite(runner, faults_suite());
	srunner_add_suite(runner, explain_suite());
	srunner_add_suite(runner, track_suite());
	srunner_add_suite(runner, adapter_suite());
	srunner_add_suite(runner, storeview_suite());
	srunner_add_suite(runner, fetch_suite());
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
