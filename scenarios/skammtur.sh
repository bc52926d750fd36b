# Skammtur: three zones, uppskrift-lm with 20 replicas and linubord with 3.
region=is-sudvestur
zones=(hafnarfjordur reykjanes kopavogur)
routers=4
service_names=(uppskrift-lm linubord)
service_kinds=(model plain)
service_agents=(20 3)
service_slots=(8 8)
flood_account=skammtur/recipes/scale-up
flood_service=uppskrift-lm
