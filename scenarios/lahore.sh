# Lahore: four zones, llm-pool with 10 replicas and timing-app with 4.
region=pk-central
zones=(hall-a hall-b annex-ravi annex-gulberg)
routers=4
service_names=(llm-pool timing-app)
service_kinds=(model plain)
service_agents=(10 4)
service_slots=(8 16)
flood_account=lahore/office/summaries
flood_service=llm-pool
