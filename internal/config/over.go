package config

// Override returns settings from a file with those flags applied that changed reports as set.
func (s Demo) Override(file Demo, changed func(flag string) bool) Demo {
	if changed("listen") {
		file.Listen = s.Listen
	}
	if changed("admin") {
		file.Admin = s.Admin
	}
	if changed("token-interval") {
		file.TokenInterval = s.TokenInterval
	}
	if changed("crash-on") {
		file.CrashOn = s.CrashOn
	}
	return file
}
