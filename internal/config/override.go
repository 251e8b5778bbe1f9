package config

// Override returns the settings of file, with the values of s for those flags that
// changed reports as set.
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
